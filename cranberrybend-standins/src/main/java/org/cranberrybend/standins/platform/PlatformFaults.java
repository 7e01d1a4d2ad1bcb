package org.cranberrybend.standins.platform;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** Injected faults, at most one for each service of the platform. */
public final class PlatformFaults {
    private final Map<Target, Fault> faults = new EnumMap<>(Target.class);

    /** A service of the platform that can fail independently; leases belong to the key-value store. */
    public enum Target {
        KV,
        ORDERS,
        REPORTS,
        INSTANCES;

        /** Returns the service that handles a path; empty for the control endpoints of the stand-in. */
        static Optional<Target> ofPath(String path) {
            if (path.startsWith("/v1/kv") || path.startsWith("/v1/leases")) {
                return Optional.of(KV);
            } else if (path.startsWith("/v1/zones/")) {
                return Optional.of(ORDERS);
            } else if (path.startsWith("/v1/usage-reports")) {
                return Optional.of(REPORTS);
            }
            return path.equals("/v1/instances") ? Optional.of(INSTANCES) : Optional.empty();
        }
    }

    /** Effect of a fault. */
    public enum Mode {
        /** Operates normally. */
        OK,
        /** Closes connections without a response; calls have no effect and pending watches end. */
        DOWN,
        /** Delays each call. */
        SLOW,
        /** Executes calls and closes the connection without a response. */
        LOSE_REPLY,
        /** Restores the snapshot of the key-value store once; does not stay active. */
        OLDER;

        static Mode of(String name) {
            return valueOf(name.toUpperCase(Locale.ROOT));
        }
    }

    /**
     * An active fault.
     *
     * @param mode effect of the fault
     * @param delayMs delay of {@link Mode#SLOW}, in milliseconds
     * @param remainingCount number of calls still to be affected; negative for unlimited
     */
    public record Fault(Mode mode, long delayMs, long remainingCount) {
        private static final Fault NONE = new Fault(Mode.OK, 0, -1);
    }

    /** Sets the fault of a service. */
    public synchronized void set(Target target, Fault fault) {
        faults.put(target, fault);
    }

    /** Returns the fault that applies to a call, and decrements its remaining count. */
    public synchronized Fault takeFault(Target target) {
        Fault fault = faults.getOrDefault(target, Fault.NONE);
        if (fault.remainingCount() == 0) {
            faults.remove(target);
            return Fault.NONE;
        }
        if (fault.remainingCount() > 0) {
            faults.put(target, new Fault(fault.mode(), fault.delayMs(), fault.remainingCount() - 1));
        }
        return fault;
    }

    /** Returns whether a service is down, without counting a call. */
    public synchronized boolean isDown(Target target) {
        Fault fault = faults.getOrDefault(target, Fault.NONE);
        return fault.mode() == Mode.DOWN && fault.remainingCount() != 0;
    }
}
