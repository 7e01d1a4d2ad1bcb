package org.cranberrybend.controller.testing;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.runtime.platform.LeaseGrant;
import org.cranberrybend.runtime.platform.LeaseService;
import org.cranberrybend.runtime.platform.PlatformException;

/** In-memory lease service with fault injection. */
public final class FaultyLeaseService implements LeaseService {
    private final TimeSource time;
    private final CallFaults faults = new CallFaults();
    private final Map<String, Lease> leases = new HashMap<>();
    private long lastFencingNumber;

    private record Lease(LeaseGrant grant, long expiryMs) {}

    /** Creates the service; leases expire by the given clock. */
    public FaultyLeaseService(TimeSource time) {
        this.time = time;
    }

    /** Returns the fault injection of this fake. */
    public CallFaults faults() {
        return faults;
    }

    /** Returns whether a lease with the given fencing number exists and has not expired. */
    public boolean isCurrent(String name, long fencingNumber) {
        return current(name)
                .filter(each -> each.grant().fencingNumber() == fencingNumber)
                .isPresent();
    }

    private Optional<Lease> current(String name) {
        return Optional.ofNullable(leases.get(name)).filter(each -> time.monotonicMs() < each.expiryMs());
    }

    @Override
    public Optional<LeaseGrant> acquire(String name, String holder, long ttlMs) throws PlatformException {
        CallFaults.Call call = faults.before("acquire");
        Optional<LeaseGrant> result = Optional.empty();
        if (current(name).isEmpty()) {
            long number = ++lastFencingNumber;
            LeaseGrant grant = new LeaseGrant("lease-" + number, number, ttlMs);
            leases.put(name, new Lease(grant, time.monotonicMs() + ttlMs));
            result = Optional.of(grant);
        }
        call.respond();
        return result;
    }

    @Override
    public boolean renew(String name, String leaseId) throws PlatformException {
        CallFaults.Call call = faults.before("renew");
        Optional<Lease> lease =
                current(name).filter(each -> each.grant().leaseId().equals(leaseId));
        lease.ifPresent(each -> leases.put(
                name, new Lease(each.grant(), time.monotonicMs() + each.grant().ttlMs())));
        call.respond();
        return lease.isPresent();
    }

    @Override
    public void release(String name, String leaseId) throws PlatformException {
        CallFaults.Call call = faults.before("release");
        if (current(name).filter(each -> each.grant().leaseId().equals(leaseId)).isPresent()) {
            leases.remove(name);
        }
        call.respond();
    }
}
