package org.cranberrybend.soak;

import java.io.IOException;
import java.net.ConnectException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.cranberrybend.platform.standin.StandInHeaders;
import org.cranberrybend.platform.standin.StandInStore;

/** One run: starts the processes and the stand-ins, lets callers call while faults happen, and judges. */
final class SoakRun implements AutoCloseable {
    /** What came of a run. */
    record Result(List<String> violations, Map<String, Integer> outcomes, int reportedWindows) {
        Result {
            violations = List.copyOf(violations);
            outcomes = Map.copyOf(outcomes);
        }
    }

    private static final Map<String, String> REGIONS =
            Map.of("zone-a", "region-1", "zone-b", "region-1", "zone-c", "region-2");
    private static final List<String> ZONES = List.of("zone-a", "zone-b", "zone-c");
    private static final int CALLERS_PER_INSTANCE = 4;
    private static final int REQUESTS_PER_CONNECTION = 40;
    private static final int PROMPT_GROUPS = 9;
    private static final long BEAT_MS = 400;
    private static final long PROBE_MS = 300;
    private static final long START_LIMIT_MS = 20_000;
    /** Part of the last seconds' requests that have to be served. */
    private static final double RECOVERED_SHARE = 0.9;

    private static final long RECOVERED_SPAN_MS = 2_500;
    private static final int EXIT_AFTER_SIGNAL = 128;

    private final Schedule schedule;
    private final long lengthMs;
    private final long originNs = System.nanoTime();
    private final Disturbances disturbances = new Disturbances();
    private final Promises promises = new Promises(this::nowMs, disturbances);
    private final StandInStore store;
    private final UpstreamPool upstreams;
    private final Operator operator;
    private final List<SoakInstance> instances = new ArrayList<>();
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(4);
    private final AtomicInteger lateAsked = new AtomicInteger();
    private final AtomicInteger lateServed = new AtomicInteger();
    private volatile long startMs;
    private volatile boolean ending;

    SoakRun(Schedule schedule, long lengthMs, int instanceCount, Path directory, List<String> command)
            throws IOException {
        this.schedule = schedule;
        this.lengthMs = lengthMs;
        store = new StandInStore(promises::dutyCall);
        upstreams = new UpstreamPool(store, promises, ZONES);
        operator = new Operator(store);
        operator.change();
        for (int i = 0; i < instanceCount; i++) {
            LoopbackProxy storeProxy = new LoopbackProxy(store.address());
            LoopbackProxy dutyProxy = new LoopbackProxy(store.address());
            EntryProcess process = new EntryProcess(
                    "entry-" + i,
                    ZONES.get(i % ZONES.size()),
                    REGIONS,
                    directory,
                    command,
                    new EntryProcess.Links(storeProxy.port(), dutyProxy.port()));
            instances.add(new SoakInstance(process, storeProxy, dutyProxy));
        }
    }

    private long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - originNs);
    }

    Result run() throws IOException, InterruptedException {
        for (SoakInstance each : instances) {
            each.process().start();
        }
        awaitReady();
        startMs = nowMs();
        disturbances.add(Disturbances.ALL, 0, 0);
        FaultInjector injector =
                new FaultInjector(instances, upstreams, store, operator, disturbances, promises, this::nowMs, timer);
        for (Schedule.Entry entry : schedule.entries()) {
            timer.schedule(() -> inject(injector, entry), entry.atMs(), TimeUnit.MILLISECONDS);
        }
        timer.scheduleAtFixedRate(upstreams::beat, BEAT_MS, BEAT_MS, TimeUnit.MILLISECONDS);
        Random random = new Random(schedule.seed());
        int callers = instances.size() * CALLERS_PER_INSTANCE;
        for (int i = 0; i < callers; i++) {
            int number = i;
            long seed = random.nextLong();
            threads.execute(() -> callForever(number, new Random(seed)));
        }
        for (SoakInstance each : instances) {
            threads.execute(() -> probeForever(each));
        }
        while (nowMs() < startMs + lengthMs) {
            Thread.sleep(100);
            instances.forEach(this::checkAlive);
        }
        ending = true;
        promises.checkEnd();
        checkRecovered();
        stopInstances();
        return new Result(promises.violations(), promises.outcomes(), promises.reportedWindows());
    }

    private void awaitReady() throws InterruptedException {
        long endMs = nowMs() + START_LIMIT_MS;
        for (SoakInstance each : instances) {
            while (!isReady(each)) {
                if (nowMs() > endMs || !each.process().isRunning()) {
                    throw new IllegalStateException(each.process().name() + " does not become ready");
                }
                Thread.sleep(50);
            }
        }
    }

    private static boolean isReady(SoakInstance instance) {
        try (Caller caller = new Caller(instance.process().readinessPort())) {
            return caller.call("GET", "/-/ready", Map.of(), "").status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    private void inject(FaultInjector injector, Schedule.Entry entry) {
        try {
            injector.inject(entry);
        } catch (IOException e) {
            promises.broken("the soak itself works", entry + ": " + e.getMessage());
        }
    }

    private void checkAlive(SoakInstance instance) {
        EntryProcess process = instance.process();
        int status = process.exitStatus();
        boolean bySignal = status >= EXIT_AFTER_SIGNAL || status == 0;
        if (!process.isRunning() && !bySignal) {
            promises.broken("processes don't end by themselves", process.name() + " ended with status " + status);
        }
    }

    private void callForever(int number, Random random) {
        int turn = number;
        while (!ending) {
            SoakInstance instance = instances.get(turn++ % instances.size());
            try (Caller caller = new Caller(instance.process().callerPort())) {
                for (int i = 0; i < REQUESTS_PER_CONNECTION && !ending; i++) {
                    RequestKind kind = RequestKind.values()[random.nextInt(RequestKind.values().length)];
                    String id = kind + "-" + number + "-" + Long.toHexString(random.nextLong());
                    if (!call(caller, instance.process().name(), kind, id)) {
                        break;
                    }
                    Thread.sleep(20 + random.nextInt(60));
                }
                Thread.sleep(random.nextInt(100));
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Makes one request; returns whether the connection can be used on. */
    private boolean call(Caller caller, String instance, RequestKind kind, String id) {
        boolean late = nowMs() > startMs + lengthMs - RECOVERED_SPAN_MS;
        Map<String, String> headers = headers(id);
        boolean served = false;
        boolean goOn = false;
        long sentMs = nowMs();
        try {
            Caller.Answer answer = caller.call(kind == RequestKind.LOOKUP ? "GET" : "POST", kind.path(), headers, "");
            promises.answered(id, answer, instance, sentMs);
            served = answer.status() == 200 && answer.whole();
            goOn = answer.whole();
        } catch (ConnectException e) {
            promises.unreachable();
        } catch (IOException e) {
            promises.lost(id, instance, sentMs);
        }
        if (late && !ending) {
            lateAsked.incrementAndGet();
            lateServed.addAndGet(served ? 1 : 0);
        }
        return goOn;
    }

    private static Map<String, String> headers(String id) {
        Map<String, String> headers =
                new LinkedHashMap<>(StandInHeaders.ofCaller(id, Operator.KEY, SoakBounds.ROUTE_TIMEOUT_MS));
        if (Promises.kindOf(id).stream()) {
            headers.putAll(StandInHeaders.ofPrompt(Math.floorMod(id.hashCode(), PROMPT_GROUPS)));
        }
        return headers;
    }

    /** Asks an instance again and again for the route of the newest configuration. */
    private void probeForever(SoakInstance instance) {
        EntryProcess process = instance.process();
        int number = 0;
        while (!ending) {
            int version = operator.version();
            int incarnation = process.incarnation();
            long sentMs = nowMs();
            String id = RequestKind.LOOKUP + "-probe-" + process.name() + "-" + number++;
            try (Caller caller = new Caller(process.callerPort())) {
                int status = caller.call("GET", Operator.pathOf(version), headers(id), "")
                        .status();
                if (process.incarnation() == incarnation && (status == 200 || status == 404)) {
                    promises.probed(process.name() + "#" + incarnation, version, status == 200, sentMs);
                }
            } catch (IOException e) {
                // The instance is down or disturbed; what it knows is asked again.
            }
            try {
                Thread.sleep(PROBE_MS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void checkRecovered() {
        int asked = lateAsked.get();
        if (asked == 0 || lateServed.get() < asked * RECOVERED_SHARE) {
            promises.broken("the fleet recovers", lateServed.get() + " of " + asked + " requests were served");
        }
    }

    private void stopInstances() throws InterruptedException {
        instances.forEach(each -> each.process().signal("TERM"));
        for (SoakInstance each : instances) {
            if (!each.process().awaitEnd(SoakBounds.SHUTDOWN_LIMIT_S * 1_000L)) {
                promises.broken("a stop ends in time", each.process().name() + " at the end");
            }
        }
    }

    @Override
    public void close() throws IOException {
        ending = true;
        timer.shutdownNow();
        threads.shutdownNow();
        for (SoakInstance each : instances) {
            each.close();
        }
        upstreams.close();
        store.close();
    }
}
