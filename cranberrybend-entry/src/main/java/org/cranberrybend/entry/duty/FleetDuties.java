package org.cranberrybend.entry.duty;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Runs the duties of the fleet, the lease that they need and the flushing of usage counts from one timer. */
public final class FleetDuties {
    private final FleetDirectory directory;
    private final DutyLease lease;
    private final UsageFlusher flusher;
    private final List<Runnable> duties;
    private boolean stopping;

    /** Creates the duties; each is a task that performs its next step if this instance holds the lease. */
    public FleetDuties(FleetDirectory directory, DutyLease lease, UsageFlusher flusher, List<Runnable> duties) {
        this.directory = directory;
        this.lease = lease;
        this.flusher = flusher;
        this.duties = new ArrayList<>(duties);
    }

    /** Performs the steps that are due. */
    public void tick() {
        flusher.tick();
        lease.tick(directory.mayLeaseBeHeld());
        if (!stopping) {
            directory.tick();
            duties.forEach(Runnable::run);
        }
    }

    /** Releases the lease and the registration; requests still in flight continue to be counted. */
    public void release() {
        stopping = true;
        lease.release();
        directory.release();
    }

    /** Writes the counts of the current window, because the process stops. */
    public CompletableFuture<Void> flush() {
        return flusher.flushNow();
    }
}
