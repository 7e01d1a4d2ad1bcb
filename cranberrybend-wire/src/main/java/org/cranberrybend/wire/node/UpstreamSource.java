package org.cranberrybend.wire.node;

import java.util.List;
import org.cranberrybend.core.routing.Upstream;

/** Upstreams of the fleet according to the latest instance list that any controller read from the platform. */
public interface UpstreamSource {
    /** Returns all listed upstreams. */
    List<Upstream> upstreams();

    /** Returns the wall-clock time at which the list was read, in milliseconds; 0 if there is none yet. */
    long upstreamsReadAtMs();

    /** Offers a list that was read at a wall-clock time; it is ignored unless that is later than the current one. */
    void offerUpstreams(List<Upstream> upstreams, long readAtMs);

    /** Adds a listener that is called after changes, on a worker thread that holds no locks. */
    void addUpstreamListener(Runnable listener);
}
