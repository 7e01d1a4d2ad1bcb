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

/** One run: starts processes and stand-ins, sends requests while faults are injected, and checks the promises. */
final class SoakRun implements AutoCloseable {
    /**
     * Result of a run.
     *
     * @param violations broken promises
     * @param outcomes number of requests by outcome
     * @param reportedWindows number of usage windows that were reported
     */
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
    private static final long HEARTBEAT_PERIOD_MS = 400;
    private static final long PROBE_PERIOD_MS = 300;
    private static final long START_TIMEOUT_MS = 20_000;
    /** Minimum ratio of requests served in the last {@link #RECOVERY_CHECK_MS} of a run. */
    private static final double MIN_RECOVERED_RATIO = 0.9;

    private static final long RECOVERY_CHECK_MS = 2_500;
    /** A process that a signal ended has an exit status of 128 plus the number of the signal. */
    private static final int MIN_SIGNAL_EXIT_STATUS = 128;

    private final Schedule schedule;
    private final long lengthMs;
    private final long originNs = System.nanoTime();
    private final Disruptions disruptions = new Disruptions();
    private final Promises promises = new Promises(this::nowMs, disruptions);
    private final StandInStore store;
    private final SoakUpstreams upstreams;
    private final Operator operator;
    private final List<SoakInstance> instances = new ArrayList<>();
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(4);
    private final AtomicInteger finalRequests = new AtomicInteger();
    private final AtomicInteger finalServedRequests = new AtomicInteger();
    private volatile long startMs;
    private volatile boolean stopping;

    SoakRun(Schedule schedule, long lengthMs, int instanceCount, Path directory, List<String> command)
            throws IOException {
        this.schedule = schedule;
        this.lengthMs = lengthMs;
        store = new StandInStore(promises::recordDutyCall);
        upstreams = new SoakUpstreams(store, promises, ZONES);
        operator = new Operator(store);
        operator.writeNextVersion();
        for (int i = 0; i < instanceCount; i++) {
            LoopbackProxy storeProxy = new LoopbackProxy(store.address());
            LoopbackProxy dutyProxy = new LoopbackProxy(store.address());
            EntryProcess process = new EntryProcess(
                    "entry-" + i,
                    ZONES.get(i % ZONES.size()),
                    REGIONS,
                    directory,
                    command,
                    new EntryProcess.PlatformPorts(storeProxy.port(), dutyProxy.port()));
            instances.add(new SoakInstance(process, storeProxy, dutyProxy));
        }
    }

    private long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - originNs);
    }

    Result run() throws IOException, InterruptedException {
        for (SoakInstance instance : instances) {
            instance.process().start();
        }
        awaitReady();
        startMs = nowMs();
        disruptions.add(Disruptions.ALL, 0, 0);
        FaultInjector injector =
                new FaultInjector(instances, upstreams, store, operator, disruptions, promises, this::nowMs, timer);
        for (Schedule.Entry entry : schedule.entries()) {
            timer.schedule(() -> inject(injector, entry), entry.atMs(), TimeUnit.MILLISECONDS);
        }
        timer.scheduleAtFixedRate(
                upstreams::writeHeartbeat, HEARTBEAT_PERIOD_MS, HEARTBEAT_PERIOD_MS, TimeUnit.MILLISECONDS);
        Random random = new Random(schedule.seed());
        int callers = instances.size() * CALLERS_PER_INSTANCE;
        for (int i = 0; i < callers; i++) {
            int number = i;
            long seed = random.nextLong();
            threads.execute(() -> runCaller(number, new Random(seed)));
        }
        for (SoakInstance instance : instances) {
            threads.execute(() -> runProbe(instance));
        }
        while (nowMs() < startMs + lengthMs) {
            Thread.sleep(100);
            instances.forEach(this::checkNotExited);
        }
        stopping = true;
        promises.checkReportedUsage();
        checkRecovered();
        stopInstances();
        return new Result(promises.violations(), promises.outcomes(), promises.reportedWindows());
    }

    private void awaitReady() throws InterruptedException {
        long endMs = nowMs() + START_TIMEOUT_MS;
        for (SoakInstance instance : instances) {
            while (!isReady(instance)) {
                if (nowMs() > endMs || !instance.process().isRunning()) {
                    throw new IllegalStateException(instance.process().name() + " does not become ready");
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
            promises.recordViolation("the soak itself works", entry + ": " + e.getMessage());
        }
    }

    private void checkNotExited(SoakInstance instance) {
        EntryProcess process = instance.process();
        int status = process.exitStatus();
        boolean bySignal = status >= MIN_SIGNAL_EXIT_STATUS || status == 0;
        if (!process.isRunning() && !bySignal) {
            promises.recordViolation(
                    "processes don't end by themselves", process.name() + " ended with status " + status);
        }
    }

    private void runCaller(int number, Random random) {
        int nextInstance = number;
        while (!stopping) {
            SoakInstance instance = instances.get(nextInstance++ % instances.size());
            try (Caller caller = new Caller(instance.process().callerPort())) {
                for (int i = 0; i < REQUESTS_PER_CONNECTION && !stopping; i++) {
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

    /** Sends a request; returns whether the connection can be reused. */
    private boolean call(Caller caller, String instance, RequestKind kind, String id) {
        boolean inRecoveryCheck = nowMs() > startMs + lengthMs - RECOVERY_CHECK_MS;
        Map<String, String> headers = headers(id);
        boolean served = false;
        boolean reusable = false;
        long sentMs = nowMs();
        promises.recordSent(id, instance, sentMs);
        try {
            Caller.Response response =
                    caller.call(kind == RequestKind.LOOKUP ? "GET" : "POST", kind.path(), headers, "");
            promises.recordResponse(id, response, instance, sentMs);
            served = response.status() == 200 && response.complete();
            reusable = response.complete();
        } catch (ConnectException e) {
            promises.recordUnreachable();
        } catch (IOException e) {
            promises.recordLostResponse(id, instance, sentMs);
        }
        if (inRecoveryCheck && !stopping) {
            finalRequests.incrementAndGet();
            finalServedRequests.addAndGet(served ? 1 : 0);
        }
        return reusable;
    }

    private static Map<String, String> headers(String id) {
        Map<String, String> headers =
                new LinkedHashMap<>(StandInHeaders.ofCaller(id, Operator.API_KEY, SoakBounds.ROUTE_TIMEOUT_MS));
        if (Promises.kindOf(id).isStream()) {
            headers.putAll(StandInHeaders.ofPrompt(Math.floorMod(id.hashCode(), PROMPT_GROUPS)));
        }
        return headers;
    }

    /** Periodically requests the route of the newest configuration from an instance. */
    private void runProbe(SoakInstance instance) {
        EntryProcess process = instance.process();
        int number = 0;
        while (!stopping) {
            int version = operator.version();
            int incarnation = process.incarnation();
            long sentMs = nowMs();
            String id = RequestKind.LOOKUP + "-probe-" + process.name() + "-" + number++;
            try (Caller caller = new Caller(process.callerPort())) {
                int status = caller.call("GET", Operator.pathOfVersion(version), headers(id), "")
                        .status();
                if (process.incarnation() == incarnation && (status == 200 || status == 404)) {
                    promises.recordProbe(process.name() + "#" + incarnation, version, status == 200, sentMs);
                }
            } catch (IOException e) {
                // The instance is down or disrupted; the next probe follows.
            }
            try {
                Thread.sleep(PROBE_PERIOD_MS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void checkRecovered() {
        int requests = finalRequests.get();
        if (requests == 0 || finalServedRequests.get() < requests * MIN_RECOVERED_RATIO) {
            promises.recordViolation(
                    "the fleet recovers", finalServedRequests.get() + " of " + requests + " requests were served");
        }
    }

    private void stopInstances() throws InterruptedException {
        instances.forEach(instance -> instance.process().signal("TERM"));
        for (SoakInstance instance : instances) {
            if (!instance.process().awaitExit(SoakBounds.SHUTDOWN_LIMIT_S * 1_000L)) {
                promises.recordViolation(
                        "a stop ends in time", instance.process().name() + " at the end");
            }
        }
    }

    @Override
    public void close() throws IOException {
        stopping = true;
        timer.shutdownNow();
        threads.shutdownNow();
        for (SoakInstance instance : instances) {
            instance.close();
        }
        upstreams.close();
        store.close();
    }
}
