package org.cranberrybend.standins.platform;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** Faults in force, one per part of the platform. */
public final class PlatformFaults {
    private final Map<Target, Fault> faults = new EnumMap<>(Target.class);

    /** A part of the platform that can fail on its own; leases belong to the key-value service. */
    public enum Target {
        KV,
        ORDERS,
        REPORTS,
        INSTANCES;

        /** Returns the part that serves a path; empty for the controls of the stand-in. */
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

    /** What a failing part does. */
    public enum Mode {
        /** Works. */
        OK,
        /** Closes connections without a response; calls have no effect and watches end. */
        DOWN,
        /** Answers after a delay. */
        SLOW,
        /** Carries calls out and closes the connection without a response. */
        LOSE_REPLY,
        /** Goes back to the snapshot once; not a lasting state. */
        OLDER;

        static Mode of(String name) {
            return valueOf(name.toUpperCase(Locale.ROOT));
        }
    }

    /**
     * A fault in force.
     *
     * @param mode what the part does
     * @param delayMs delay of {@link Mode#SLOW}, in milliseconds
     * @param remainingCount calls that still fail; negative for no bound
     */
    public record Fault(Mode mode, long delayMs, long remainingCount) {
        private static final Fault NONE = new Fault(Mode.OK, 0, -1);
    }

    /** Sets the fault of a part. */
    public synchronized void set(Target target, Fault fault) {
        faults.put(target, fault);
    }

    /** Returns the fault that applies to a call, and counts the call. */
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

    /** Returns whether a part is down, without counting a call. */
    public synchronized boolean isDown(Target target) {
        Fault fault = faults.getOrDefault(target, Fault.NONE);
        return fault.mode() == Mode.DOWN && fault.remainingCount() != 0;
    }
}
