package org.cranberrybend.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.cranberrybend.platform.standin.StandInStore;
import org.cranberrybend.platform.standin.StandInUpstream;

/** Carries out the faults of a schedule and ends them, and notes whom they disturb. */
final class FaultInjector {
    private static final long UPSTREAM_LINGER_MS = SoakBounds.DRAIN_MS + 2_500;
    private static final int STORM_CHANGES = 6;
    private static final long STORM_GAP_MS = 150;
    /** Time after its start in which a process is not expected to keep bounds. */
    private static final long START_MS = 2_500;

    private final List<SoakInstance> instances;
    private final UpstreamPool upstreams;
    private final StandInStore store;
    private final Operator operator;
    private final Disturbances disturbances;
    private final Promises promises;
    private final LongSupplier clockMs;
    private final ScheduledExecutorService timer;

    FaultInjector(
            List<SoakInstance> instances,
            UpstreamPool upstreams,
            StandInStore store,
            Operator operator,
            Disturbances disturbances,
            Promises promises,
            LongSupplier clockMs,
            ScheduledExecutorService timer) {
        this.instances = List.copyOf(instances);
        this.upstreams = upstreams;
        this.store = store;
        this.operator = operator;
        this.disturbances = disturbances;
        this.promises = promises;
        this.clockMs = clockMs;
        this.timer = timer;
    }

    private void later(long delayMs, Callable<?> task) {
        timer.schedule(
                () -> {
                    try {
                        task.call();
                    } catch (IOException e) {
                        throw new UncheckedIOException(e);
                    }
                    return null;
                },
                delayMs,
                TimeUnit.MILLISECONDS);
    }

    /** Begins a fault; its end is scheduled. */
    void inject(Schedule.Entry entry) throws IOException {
        long nowMs = clockMs.getAsLong();
        SoakInstance instance = instances.get(entry.target() % instances.size());
        String name = instance.process().name();
        switch (entry.fault()) {
            case INSTANCE_PAUSED:
            case INSTANCE_KILLED:
            case INSTANCE_STOPPED:
            case INSTANCE_SETTINGS_RELOADED:
                signal(entry, instance, nowMs);
                break;
            case ALL_INSTANCES_KILLED:
                instances.forEach(each -> kill(each, entry.forMs(), nowMs));
                break;
            case STORE_BUSY:
                storeMode(StandInStore.Mode.BUSY, entry, nowMs);
                break;
            case STORE_SLOW:
                storeMode(StandInStore.Mode.SLOW, entry, nowMs);
                break;
            case STORE_LOSES_ANSWERS:
                storeMode(StandInStore.Mode.LOSING_ANSWERS, entry, nowMs);
                break;
            case STORE_WRITES_LATE:
                storeMode(StandInStore.Mode.WRITING_LATE, entry, nowMs);
                break;
            case STORE_COMPACTED:
                disturbances.add(Disturbances.ALL, nowMs, nowMs);
                store.compact();
                break;
            case STORE_SILENT_FOR_ONE:
                silence(instance.store(), LoopbackProxy.Mode.SILENT, name, entry, nowMs);
                break;
            case STORE_ONE_WAY_FOR_ONE:
                silence(instance.store(), LoopbackProxy.Mode.SILENT_BACK, name, entry, nowMs);
                break;
            case STORE_REFUSES_ONE:
                refuse(instance.store(), name, entry, nowMs);
                break;
            case STORE_CONNECTIONS_RESET:
                disturbances.add(name, nowMs, nowMs);
                instance.store().resetConnections();
                break;
            case DUTIES_SILENT_FOR_ONE:
                silence(instance.duties(), LoopbackProxy.Mode.SILENT, name, entry, nowMs);
                break;
            case CONFIGURATION_CHANGED:
                operator.change();
                break;
            case CONFIGURATION_STORM:
                for (int i = 0; i < STORM_CHANGES; i++) {
                    later(i * STORM_GAP_MS, () -> {
                        operator.change();
                        return null;
                    });
                }
                break;
            default:
                upstreamFault(entry, nowMs);
        }
    }

    private void signal(Schedule.Entry entry, SoakInstance instance, long nowMs) throws IOException {
        EntryProcess process = instance.process();
        switch (entry.fault()) {
            case INSTANCE_PAUSED:
                disturbances.add(process.name(), nowMs, nowMs + entry.forMs());
                process.signal("STOP");
                later(entry.forMs(), () -> {
                    process.signal("CONT");
                    return null;
                });
                break;
            case INSTANCE_KILLED:
                kill(instance, entry.forMs(), nowMs);
                break;
            case INSTANCE_STOPPED:
                process.signal("TERM");
                timer.execute(() -> restartAfterStop(process));
                break;
            default:
                process.signal("HUP");
        }
    }

    private void restartAfterStop(EntryProcess process) {
        int stopped = process.incarnation();
        long nowMs = clockMs.getAsLong();
        try {
            if (!process.awaitEnd(SoakBounds.SHUTDOWN_LIMIT_S * 1_000L)) {
                if (disturbances.isCalm(process.name(), nowMs, clockMs.getAsLong())) {
                    promises.broken("a stop ends in time", process.name());
                }
                process.signal("CONT");
                process.signal("KILL");
                process.awaitEnd(1_000);
            }
            restart(process, stopped);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Starts a process again unless another fault has done so. */
    private void restart(EntryProcess process, int ended) throws IOException {
        synchronized (process) {
            if (!process.isRunning() && process.incarnation() == ended) {
                process.start();
            }
        }
        long nowMs = clockMs.getAsLong();
        disturbances.add(process.name(), nowMs, nowMs + START_MS);
    }

    private void kill(SoakInstance instance, long downMs, long nowMs) {
        EntryProcess process = instance.process();
        int killed = process.incarnation();
        disturbances.add(process.name(), nowMs, nowMs + downMs + START_MS);
        process.signal("CONT");
        process.signal("KILL");
        later(downMs, () -> {
            process.awaitEnd(1_000);
            restart(process, killed);
            return null;
        });
    }

    private void storeMode(StandInStore.Mode mode, Schedule.Entry entry, long nowMs) {
        disturbances.add(Disturbances.ALL, nowMs, nowMs + entry.forMs());
        store.setMode(mode);
        later(entry.forMs(), () -> {
            store.setMode(StandInStore.Mode.SERVING);
            return null;
        });
    }

    private void silence(LoopbackProxy proxy, LoopbackProxy.Mode mode, String name, Schedule.Entry entry, long nowMs) {
        disturbances.add(name, nowMs, nowMs + entry.forMs());
        proxy.setMode(mode);
        later(entry.forMs(), () -> {
            proxy.setMode(LoopbackProxy.Mode.PASSING);
            return null;
        });
    }

    private void refuse(LoopbackProxy proxy, String name, Schedule.Entry entry, long nowMs) {
        disturbances.add(name, nowMs, nowMs + entry.forMs());
        proxy.setRefusing(true);
        proxy.resetConnections();
        later(entry.forMs(), () -> {
            proxy.setRefusing(false);
            return null;
        });
    }

    private void upstreamFault(Schedule.Entry entry, long nowMs) throws IOException {
        UpstreamPool.Listed listed = upstreams.pick(entry.target());
        if (entry.fault() == Fault.UPSTREAM_LEAVES) {
            boolean announced = entry.target() % 3 > 0;
            UpstreamPool.Listed leaving = upstreams.leave(entry.target(), announced);
            later(UPSTREAM_LINGER_MS, () -> {
                upstreams.remove(leaving);
                leaving.proxy().close();
                return null;
            });
            return;
        }
        // Answers are lost at upstreams, so nobody's planned work is judged meanwhile.
        disturbances.add(Disturbances.ALL, nowMs, nowMs + entry.forMs());
        switch (entry.fault()) {
            case UPSTREAM_UNREACHABLE:
                refuseUpstream(listed, entry.forMs());
                break;
            case UPSTREAM_SILENT:
                upstreamLink(listed, LoopbackProxy.Mode.SILENT, entry.forMs());
                break;
            case UPSTREAM_DELAYED:
                upstreamLink(listed, LoopbackProxy.Mode.DELAYING, entry.forMs());
                break;
            case UPSTREAM_CONNECTIONS_RESET:
                listed.proxy().resetConnections();
                break;
            case UPSTREAM_FULL:
                upstreamMode(listed, StandInUpstream.Mode.FULL, entry.forMs());
                break;
            case UPSTREAM_LOSES_ANSWERS:
                upstreamMode(listed, StandInUpstream.Mode.LOSING_ANSWERS, entry.forMs());
                break;
            case UPSTREAM_BREAKS_OFF:
                upstreamMode(listed, StandInUpstream.Mode.BREAKING_OFF, entry.forMs());
                break;
            default:
                upstreamMode(listed, StandInUpstream.Mode.FAILING, entry.forMs());
        }
    }

    private void refuseUpstream(UpstreamPool.Listed listed, long forMs) {
        listed.proxy().setRefusing(true);
        listed.proxy().resetConnections();
        later(forMs, () -> {
            listed.proxy().setRefusing(false);
            return null;
        });
    }

    private void upstreamLink(UpstreamPool.Listed listed, LoopbackProxy.Mode mode, long forMs) {
        listed.proxy().setMode(mode);
        later(forMs, () -> {
            listed.proxy().setMode(LoopbackProxy.Mode.PASSING);
            return null;
        });
    }

    private void upstreamMode(UpstreamPool.Listed listed, StandInUpstream.Mode mode, long forMs) {
        listed.upstream().setMode(mode);
        later(forMs, () -> {
            listed.upstream().setMode(StandInUpstream.Mode.SERVING);
            return null;
        });
    }
}
