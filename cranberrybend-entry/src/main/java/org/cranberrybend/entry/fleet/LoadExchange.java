package org.cranberrybend.entry.fleet;

import java.util.List;
import org.cranberrybend.entry.upstream.LoadReport;

/**
 * Load reports of upstreams that instances exchange. In a large fleet one instance receives a response of a given
 * upstream only every few seconds, but all instances of a zone together receive several a second.
 */
public interface LoadExchange {
    /** Exchanges nothing. */
    LoadExchange NONE = new LoadExchange() {
        @Override
        public List<LoadReport> recentLoads(long maxAgeMs, boolean localOnly) {
            return List.of();
        }

        @Override
        public void merge(List<LoadReport> reports) {
            // The reports of other instances are ignored.
        }
    };

    /**
     * Returns the load reports up to a given age.
     *
     * @param localOnly whether reports that came from other instances are left out
     */
    List<LoadReport> recentLoads(long maxAgeMs, boolean localOnly);

    /** Merges load reports of another instance. */
    void merge(List<LoadReport> reports);
}
