package org.cranberrybend.wire.node;

import java.util.List;
import org.cranberrybend.core.routing.Upstream;

/** Upstreams of the fleet as last read from the platform's list of instances by any controller. */
public interface UpstreamSource {
    /** Returns all listed upstreams. */
    List<Upstream> upstreams();

    /** Returns the wall clock of the read that the list comes from, in milliseconds; 0 if there was none yet. */
    long upstreamsReadAtMs();

    /** Offers a list read from the platform at the given wall clock; older lists are ignored. */
    void offerUpstreams(List<Upstream> upstreams, long readAtMs);

    /** Adds a listener that is called on a worker thread, without locks, after each change. */
    void addUpstreamListener(Runnable listener);
}
