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

/**
 * Injects the faults of a schedule, ends them and records which instances they disrupt. The end of a fault restores the
 * normal state even if another fault of the same target still lasts.
 */
final class FaultInjector {
    /** Time from the leaving of an upstream until its entry is removed and its proxy closed; exceeds the drain time. */
    private static final long UPSTREAM_REMOVAL_DELAY_MS = SoakBounds.DRAIN_MS + 2_500;

    /** Time for which an upstream states only in its responses that it is leaving, and its entry stays. */
    private static final long STATEMENT_LEAD_MS = 2_000;

    /** Largest rate limit that an upstream states; a fifth of the requests that it receives otherwise. */
    private static final int MAX_LIMIT_PER_S = 4;

    private static final int STORM_CHANGES = 6;
    private static final long STORM_GAP_MS = 150;
    /** Time after the start of a process in which it need not keep the bounds. */
    private static final long STARTUP_GRACE_MS = 2_500;

    private final List<SoakInstance> instances;
    private final SoakUpstreams upstreams;
    private final StandInStore store;
    private final Operator operator;
    private final Disruptions disruptions;
    private final Promises promises;
    private final LongSupplier clockMs;
    private final ScheduledExecutorService timer;

    FaultInjector(
            List<SoakInstance> instances,
            SoakUpstreams upstreams,
            StandInStore store,
            Operator operator,
            Disruptions disruptions,
            Promises promises,
            LongSupplier clockMs,
            ScheduledExecutorService timer) {
        this.instances = List.copyOf(instances);
        this.upstreams = upstreams;
        this.store = store;
        this.operator = operator;
        this.disruptions = disruptions;
        this.promises = promises;
        this.clockMs = clockMs;
        this.timer = timer;
    }

    private void schedule(long delayMs, Callable<?> task) {
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

    /** Injects a fault and schedules its end. */
    void inject(Schedule.Entry entry) throws IOException {
        long nowMs = clockMs.getAsLong();
        SoakInstance instance = instances.get(entry.target() % instances.size());
        String name = instance.process().name();
        switch (entry.fault()) {
            case INSTANCE_PAUSED:
            case INSTANCE_KILLED:
            case INSTANCE_STOPPED:
            case INSTANCE_SETTINGS_RELOADED:
                injectSignal(entry, instance, nowMs);
                break;
            case ALL_INSTANCES_KILLED:
                instances.forEach(current -> kill(current, entry.durationMs(), nowMs));
                break;
            case STORE_BUSY:
                setStoreMode(StandInStore.Mode.BUSY, entry, nowMs);
                break;
            case STORE_SLOW:
                setStoreMode(StandInStore.Mode.SLOW, entry, nowMs);
                break;
            case STORE_LOSES_ANSWERS:
                setStoreMode(StandInStore.Mode.LOSING_ANSWERS, entry, nowMs);
                break;
            case STORE_WRITES_LATE:
                setStoreMode(StandInStore.Mode.WRITING_LATE, entry, nowMs);
                break;
            case STORE_COMPACTED:
                disruptions.add(Disruptions.ALL, nowMs, nowMs);
                store.compact();
                break;
            case STORE_SILENT_FOR_ONE:
                setProxyMode(instance.storeProxy(), LoopbackProxy.Mode.DROPPING_ALL, name, entry, nowMs);
                break;
            case STORE_ONE_WAY_FOR_ONE:
                setProxyMode(instance.storeProxy(), LoopbackProxy.Mode.DROPPING_FROM_TARGET, name, entry, nowMs);
                break;
            case STORE_REFUSES_ONE:
                refuseConnections(instance.storeProxy(), name, entry, nowMs);
                break;
            case STORE_CONNECTIONS_RESET:
                disruptions.add(name, nowMs, nowMs);
                instance.storeProxy().resetConnections();
                break;
            case DUTIES_SILENT_FOR_ONE:
                setProxyMode(instance.dutyProxy(), LoopbackProxy.Mode.DROPPING_ALL, name, entry, nowMs);
                break;
            case CONFIGURATION_CHANGED:
                operator.writeNextVersion();
                break;
            case ZONE_EVACUATED:
                evacuate(upstreams.zone(entry.target()), entry.durationMs());
                break;
            case UPSTREAM_LIMITED:
                limitUpstreams(entry);
                break;
            case CONFIGURATION_STORM:
                for (int i = 0; i < STORM_CHANGES; i++) {
                    schedule(i * STORM_GAP_MS, () -> {
                        operator.writeNextVersion();
                        return null;
                    });
                }
                break;
            default:
                injectUpstreamFault(entry, nowMs);
        }
    }

    /** Has one upstream after the other state a rate limit, each for the same time. */
    private void limitUpstreams(Schedule.Entry entry) {
        int count = 1 + entry.target() % 3;
        for (int i = 0; i < count; i++) {
            StandInUpstream limited = upstreams.pick(entry.target() + i).upstream();
            double requestsPerS = (1 + (entry.target() + i) % (2 * MAX_LIMIT_PER_S)) / 2.0;
            promises.recordRateLimit(limited.id(), requestsPerS);
            limited.stateRateLimit(requestsPerS);
            schedule(entry.durationMs(), () -> {
                promises.recordRateLimitEnd(limited.id());
                limited.stateNoRateLimit();
                return null;
            });
        }
    }

    private void evacuate(String zone, long durationMs) {
        operator.evacuate(zone);
        promises.recordEvacuation(zone);
        schedule(durationMs, () -> {
            promises.recordEvacuationEnd(zone);
            operator.endEvacuation(zone);
            return null;
        });
    }

    private void injectSignal(Schedule.Entry entry, SoakInstance instance, long nowMs) throws IOException {
        EntryProcess process = instance.process();
        switch (entry.fault()) {
            case INSTANCE_PAUSED:
                disruptions.add(process.name(), nowMs, nowMs + entry.durationMs());
                process.signal("STOP");
                schedule(entry.durationMs(), () -> {
                    process.signal("CONT");
                    return null;
                });
                break;
            case INSTANCE_KILLED:
                kill(instance, entry.durationMs(), nowMs);
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
        int stoppedIncarnation = process.incarnation();
        long nowMs = clockMs.getAsLong();
        try {
            if (!process.awaitExit(SoakBounds.SHUTDOWN_LIMIT_S * 1_000L)) {
                if (disruptions.isUndisrupted(process.name(), nowMs, clockMs.getAsLong())) {
                    promises.recordViolation("a stop ends in time", process.name());
                }
                process.signal("CONT");
                process.signal("KILL");
                process.awaitExit(1_000);
            }
            restart(process, stoppedIncarnation);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Restarts a process unless another fault has done so. */
    private void restart(EntryProcess process, int endedIncarnation) throws IOException {
        synchronized (process) {
            if (!process.isRunning() && process.incarnation() == endedIncarnation) {
                promises.recordRestart(process.name());
                process.start();
            }
        }
        long nowMs = clockMs.getAsLong();
        disruptions.add(process.name(), nowMs, nowMs + STARTUP_GRACE_MS);
    }

    private void kill(SoakInstance instance, long downMs, long nowMs) {
        EntryProcess process = instance.process();
        int killedIncarnation = process.incarnation();
        disruptions.add(process.name(), nowMs, nowMs + downMs + STARTUP_GRACE_MS);
        process.signal("CONT");
        process.signal("KILL");
        schedule(downMs, () -> {
            process.awaitExit(1_000);
            restart(process, killedIncarnation);
            return null;
        });
    }

    private void setStoreMode(StandInStore.Mode mode, Schedule.Entry entry, long nowMs) {
        disruptions.add(Disruptions.ALL, nowMs, nowMs + entry.durationMs());
        store.setMode(mode);
        schedule(entry.durationMs(), () -> {
            store.setMode(StandInStore.Mode.SERVING);
            return null;
        });
    }

    private void setProxyMode(
            LoopbackProxy proxy, LoopbackProxy.Mode mode, String name, Schedule.Entry entry, long nowMs) {
        disruptions.add(name, nowMs, nowMs + entry.durationMs());
        proxy.setMode(mode);
        schedule(entry.durationMs(), () -> {
            proxy.setMode(LoopbackProxy.Mode.FORWARDING);
            return null;
        });
    }

    private void refuseConnections(LoopbackProxy proxy, String name, Schedule.Entry entry, long nowMs) {
        disruptions.add(name, nowMs, nowMs + entry.durationMs());
        proxy.setRefusing(true);
        proxy.resetConnections();
        schedule(entry.durationMs(), () -> {
            proxy.setRefusing(false);
            return null;
        });
    }

    private void injectUpstreamFault(Schedule.Entry entry, long nowMs) throws IOException {
        SoakUpstreams.ProxiedUpstream target = upstreams.pick(entry.target());
        if (entry.fault() == Fault.UPSTREAM_LEAVES) {
            boolean announced = entry.target() % 3 > 0;
            SoakUpstreams.ProxiedUpstream leaving = upstreams.stateLeaving(entry.target());
            schedule(STATEMENT_LEAD_MS, () -> {
                upstreams.replace(leaving, announced);
                return null;
            });
            schedule(STATEMENT_LEAD_MS + UPSTREAM_REMOVAL_DELAY_MS, () -> {
                upstreams.remove(leaving);
                leaving.proxy().close();
                return null;
            });
            return;
        }
        // A faulty upstream loses responses of any instance, so meanwhile lost responses break no promise.
        disruptions.add(Disruptions.ALL, nowMs, nowMs + entry.durationMs());
        switch (entry.fault()) {
            case UPSTREAM_UNREACHABLE:
                refuseUpstreamConnections(target, entry.durationMs());
                break;
            case UPSTREAM_SILENT:
                setUpstreamProxyMode(target, LoopbackProxy.Mode.DROPPING_ALL, entry.durationMs());
                break;
            case UPSTREAM_DELAYED:
                setUpstreamProxyMode(target, LoopbackProxy.Mode.DELAYING, entry.durationMs());
                break;
            case UPSTREAM_CONNECTIONS_RESET:
                target.proxy().resetConnections();
                break;
            case UPSTREAM_FULL:
                boolean asksForTime = entry.target() % 2 > 0;
                setUpstreamMode(
                        target,
                        asksForTime ? StandInUpstream.Mode.ASKING_FOR_TIME : StandInUpstream.Mode.FULL,
                        entry.durationMs());
                break;
            case UPSTREAM_LOSES_ANSWERS:
                setUpstreamMode(target, StandInUpstream.Mode.LOSING_ANSWERS, entry.durationMs());
                break;
            case UPSTREAM_BREAKS_OFF:
                setUpstreamMode(target, StandInUpstream.Mode.BREAKING_OFF, entry.durationMs());
                break;
            default:
                setUpstreamMode(target, StandInUpstream.Mode.FAILING, entry.durationMs());
        }
    }

    private void refuseUpstreamConnections(SoakUpstreams.ProxiedUpstream target, long durationMs) {
        target.proxy().setRefusing(true);
        target.proxy().resetConnections();
        schedule(durationMs, () -> {
            target.proxy().setRefusing(false);
            return null;
        });
    }

    private void setUpstreamProxyMode(SoakUpstreams.ProxiedUpstream target, LoopbackProxy.Mode mode, long durationMs) {
        target.proxy().setMode(mode);
        schedule(durationMs, () -> {
            target.proxy().setMode(LoopbackProxy.Mode.FORWARDING);
            return null;
        });
    }

    private void setUpstreamMode(SoakUpstreams.ProxiedUpstream target, StandInUpstream.Mode mode, long durationMs) {
        target.upstream().setMode(mode);
        schedule(durationMs, () -> {
            target.upstream().setMode(StandInUpstream.Mode.SERVING);
            return null;
        });
    }
}
