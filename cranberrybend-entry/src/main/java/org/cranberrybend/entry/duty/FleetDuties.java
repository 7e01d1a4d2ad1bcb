package org.cranberrybend.entry.duty;

import java.util.ArrayList;
import java.util.List;

/** The duties of the fleet and what carries them, driven by one timer of the event loop. */
public final class FleetDuties {
    private final FleetDirectory directory;
    private final DutyLease lease;
    private final UsageFlusher flusher;
    private final List<Runnable> duties;
    private boolean stopping;

    /** Creates the duties; each is a task that does the next step if this instance holds the lease. */
    public FleetDuties(FleetDirectory directory, DutyLease lease, UsageFlusher flusher, List<Runnable> duties) {
        this.directory = directory;
        this.lease = lease;
        this.flusher = flusher;
        this.duties = new ArrayList<>(duties);
    }

    /** Does what is due. */
    public void tick() {
        flusher.tick();
        lease.tick(directory.isHolderSeen());
        if (!stopping) {
            directory.tick();
            duties.forEach(Runnable::run);
        }
    }

    /** Hands the duties over; what still runs here is counted on. */
    public void handOver() {
        stopping = true;
        lease.release();
        directory.release();
    }

    /** Writes the last counts. */
    public void stop() {
        flusher.flushNow();
    }
}
