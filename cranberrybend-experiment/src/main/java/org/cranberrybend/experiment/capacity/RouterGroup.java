package org.cranberrybend.experiment.capacity;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.cranberrybend.core.configuration.CanonicalJson;
import org.cranberrybend.experiment.load.LoadPlan;
import org.cranberrybend.experiment.load.LoadRun;
import org.cranberrybend.experiment.load.LoadTarget;

/** CPU time of a running router process by request and by streamed token. The fleet must have no other load. */
final class RouterGroup implements CapacityGroup {
    private static final int[] TOKENS = {8, 32, 128};
    private static final int[] REQUESTS_PER_ROUND = {300, 150, 60};
    private static final int ROUNDS = 1;
    private static final int WARM_UP_REQUESTS = 300;
    /** Low, because the router refuses requests that would miss the first-token target. */
    private static final int CONCURRENCY = 6;

    private static final long IDLE_MS = 8_000;

    private final Path fleetFile;

    /** Creates the group for a fleet described by a fleet.json that cranberrybend-local wrote. */
    RouterGroup(Path fleetFile) {
        this.fleetFile = fleetFile;
    }

    @Override
    public String name() {
        return "router";
    }

    @Override
    public List<SlopeMeasurement> measure() throws IOException, InterruptedException, ExecutionException {
        JsonNode fleet = CanonicalJson.mapper().readTree(Files.readString(fleetFile));
        JsonNode router = firstRouter(fleet);
        ProcessHandle process = ProcessHandle.of(router.path("pid").asLong())
                .orElseThrow(() -> new IllegalArgumentException(
                        "router " + router.path("name").asText() + " of " + fleetFile + " is not running"));
        LoadTarget target = new LoadTarget(
                "router",
                URI.create("http://" + router.path("addresses").path("caller").asText()),
                fleet.path("caller_keys").elements().next().asText());
        new LoadRun(plan(WARM_UP_REQUESTS, TOKENS[0]), 1).run(List.of(target));
        double idleRate = idleCpuPerS(process);
        Series series = new Series("CPU of a router per request, stand-in engine", "tokens per request", "us");
        for (int i = 0; i < TOKENS.length; i++) {
            LoadPlan plan = plan(REQUESTS_PER_ROUND[i], TOKENS[i]);
            double startCpuS = cpuS(process);
            long startNs = System.nanoTime();
            long failed = new LoadRun(plan, i).run(List.of(target)).get(target).failed();
            if (failed > 0) {
                throw new IllegalStateException(failed + " requests through the router failed");
            }
            double usedS = cpuS(process) - startCpuS - idleRate * (System.nanoTime() - startNs) / 1e9;
            // The CPU time includes the warm-up round of the LoadRun, hence one more round.
            series.add(TOKENS[i], usedS * 1e6 / (plan.requestsPerRound() * (plan.rounds() + 1)));
        }
        return List.of(series.toMeasurement(), idle(idleRate));
    }

    /** Returns the idle CPU rate as the slope of a line, because the report contains slopes only. */
    private static SlopeMeasurement idle(double cpuPerS) {
        Series series = new Series("CPU of an idle router of a fleet of 8 members", "seconds", "us");
        for (int seconds : new int[] {1, 2, 3}) {
            series.add(seconds, seconds * cpuPerS * 1e6);
        }
        return series.toMeasurement();
    }

    private static JsonNode firstRouter(JsonNode fleet) {
        for (JsonNode process : fleet.path("processes")) {
            if (process.path("role").asText().equals("router")) {
                return process;
            }
        }
        throw new IllegalArgumentException("the fleet has no router");
    }

    private static LoadPlan plan(int requests, int tokens) {
        return new LoadPlan("stub-writer", CONCURRENCY, requests, ROUNDS, tokens, 200);
    }

    private static double idleCpuPerS(ProcessHandle process) throws InterruptedException {
        double startCpuS = cpuS(process);
        long startNs = System.nanoTime();
        TimeUnit.MILLISECONDS.sleep(IDLE_MS);
        return (cpuS(process) - startCpuS) / ((System.nanoTime() - startNs) / 1e9);
    }

    private static double cpuS(ProcessHandle process) {
        return process.info().totalCpuDuration().orElseThrow().toNanos() / 1e9;
    }
}
