package org.cranberrybend.entry.fleet;

import java.util.List;
import org.cranberrybend.entry.upstream.LoadReport;

/**
 * What instances tell each other of the upstreams' loads. In a large fleet one instance hears each upstream only every
 * few seconds, all instances of a zone together hear it several times a second.
 */
public interface LoadExchange {
    /** An exchange in which nothing is told. */
    LoadExchange NONE = new LoadExchange() {
        @Override
        public List<LoadReport> heard(long maxAgeMs, boolean heardHereOnly) {
            return List.of();
        }

        @Override
        public void take(List<LoadReport> figures) {
            // Nothing is kept.
        }
    };

    /** Returns the figures that are not older than the given age. */
    List<LoadReport> heard(long maxAgeMs, boolean heardHereOnly);

    /** Takes figures of another instance. */
    void take(List<LoadReport> figures);
}
