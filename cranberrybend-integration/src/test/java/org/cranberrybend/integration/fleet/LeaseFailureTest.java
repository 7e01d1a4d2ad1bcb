package org.cranberrybend.integration.fleet;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cranberrybend.core.configuration.CanonicalJson;
import org.cranberrybend.experiment.check.Await;
import org.cranberrybend.experiment.check.Completion;
import org.cranberrybend.experiment.check.FleetFile.FleetMember;
import org.cranberrybend.experiment.check.OperatorClient;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Tests lease holders that are paused until another process has taken over the lease. The tests share a fleet. */
class LeaseFailureTest {
    private static final String ORDER_LEASE = "lease/orders/" + Fleet.ZONE;
    private static final String USAGE_LEASE = "lease/usage";
    private static final List<String> MODELS = List.of(Fleet.MODEL, "fitting-planner");
    private static final int REQUESTS = 10;
    // A window takes 60 s, and usage that crosses the end of a window is reported with the next window.
    private static final int TWO_WINDOWS_SECONDS = 150;

    private static Fleet fleet;

    @BeforeAll
    static void start() throws Exception {
        FleetPlan plan = FleetPlan.of(1, 3, 1, 1)
                .with("controller", "lease_ttl_ms", 2_000)
                .with("controller", "lease_safety_margin_ms", 500)
                .with("controller", "order_timeout_ms", 500)
                .with("controller", "order_period_ms", 200)
                .with("controller", "report_timeout_ms", 500)
                .with("controller", "usage_write_period_ms", 200)
                .with("controller", "usage_seal_delay_ms", 1_000);
        fleet = Fleet.start("lease", plan);
    }

    @AfterAll
    static void end() throws InterruptedException {
        fleet.close();
    }

    /** A controller and the fencing number of the lease that it acquired. */
    private record LeaseHolder(String name, long fencingNumber) {}

    /** Returns the controller that acquired a lease last, if it did so after the previous lease holder. */
    private static Optional<LeaseHolder> leaseHolder(String lease, LeaseHolder previous) throws IOException {
        LeaseHolder holder = previous;
        for (FleetMember controller : fleet.withRole("controller")) {
            // The previous lease holder is paused and does not respond.
            if (controller.name().equals(previous.name())) {
                continue;
            }
            for (JsonNode event : fleet.events(controller)) {
                long fencingNumber = event.path("fields").path("fencing_number").asLong();
                if (event.path("name").asText().equals("LEASE_ACQUIRED")
                        && event.path("subject").asText().equals(lease)
                        && fencingNumber > holder.fencingNumber()) {
                    holder = new LeaseHolder(controller.name(), fencingNumber);
                }
            }
        }
        return holder.equals(previous) ? Optional.empty() : Optional.of(holder);
    }

    private static LeaseHolder awaitLeaseHolder(String lease, LeaseHolder previous) throws Exception {
        Fleet.await("a controller holds " + lease, () -> leaseHolder(lease, previous)
                .isPresent());
        return leaseHolder(lease, previous).orElseThrow();
    }

    private static LeaseHolder pauseLeaseHolder(String lease) throws Exception {
        LeaseHolder holder = awaitLeaseHolder(lease, new LeaseHolder("", 0));
        fleet.processes().signal(holder.name(), "STOP");
        return holder;
    }

    /** Resumes a paused lease holder and waits until it has recorded the loss of the lease. */
    private static void resume(LeaseHolder paused, String lease) throws Exception {
        fleet.processes().signal(paused.name(), "CONT");
        Fleet.await("the paused lease holder records the loss", () -> {
            boolean held = false;
            for (JsonNode event : fleet.events(fleet.member(paused.name()))) {
                if (event.path("subject").asText().equals(lease)) {
                    String name = event.path("name").asText();
                    boolean acquired = name.equals("LEASE_ACQUIRED")
                            && event.path("fields").path("fencing_number").asLong() == paused.fencingNumber();
                    held = acquired || (held && !name.equals("LEASE_LOST"));
                }
            }
            return !held;
        });
    }

    // A lease holder that is paused until its lease expires must not send upstream orders after it resumes, and the two
    // lease holders must not both order the same upstreams.
    @Test
    void orderLeaseHolderPaused() throws Exception {
        // The initial policy requires 2 upstreams for each of the 2 models; 1 of these 4 is running.
        Fleet.await("the first lease holder has ordered", () -> starts() == 3);
        LeaseHolder paused = pauseLeaseHolder(ORDER_LEASE);
        OperatorClient operator = fleet.operator(paused.name().equals("controller-1") ? 2 : 1);
        Map<String, Object> policy =
                Map.of("guaranteed_upstreams_min", 4, "upstreams_max", 4, "preemptible_ratio_max", 0);
        long revision = operator.read("/v1/configuration").path("revision").asLong();
        assertThat(operator.change(
                                revision,
                                "test",
                                "zone",
                                Fleet.ZONE,
                                CanonicalJson.mapper().valueToTree(policy))
                        .status())
                .isEqualTo(200);
        LeaseHolder successor = awaitLeaseHolder(ORDER_LEASE, paused);
        Fleet.await("the next lease holder orders", () -> starts() == 7);
        resume(paused, ORDER_LEASE);

        Set<String> orderIds = new HashSet<>();
        long previous = 0;
        for (JsonNode order : orders()) {
            assertWithMessage(order.toString())
                    .that(order.path("fencing_number").asLong())
                    .isAtLeast(previous);
            previous = order.path("fencing_number").asLong();
            assertThat(orderIds.add(order.path("order_id").asText())).isTrue();
        }
        assertThat(previous).isEqualTo(successor.fencingNumber());
        assertThat(starts()).isEqualTo(7);
    }

    private static JsonNode orders() throws IOException {
        return fleet.control("platform-1", "GET", "/v1/zones/" + Fleet.ZONE + "/orders", null);
    }

    private static int starts() throws IOException {
        int starts = 0;
        for (JsonNode order : orders()) {
            starts += order.path("action").asText().equals("start")
                            && MODELS.contains(order.path("model").asText())
                    ? 1
                    : 0;
        }
        return starts;
    }

    // A lease holder that is paused until its lease expires must not report usage after it resumes. A window must not
    // be reported with different totals, and a lease takeover must not lose usage or count it twice.
    @Test
    void usageLeaseHolderPaused() throws Exception {
        FleetMember router = fleet.member("router-1");
        for (int i = 0; i < REQUESTS; i++) {
            Completion completion = new Completion(true, Fleet.MODEL, "usage " + i, 3);
            assertThat(fleet.complete(router, completion).status()).isEqualTo(200);
        }
        LeaseHolder paused = pauseLeaseHolder(USAGE_LEASE);
        LeaseHolder successor = awaitLeaseHolder(USAGE_LEASE, paused);
        int reportedBefore = events(successor, "USAGE_REPORTED").size();
        Await.until(
                "the next lease holder reports a window",
                TWO_WINDOWS_SECONDS,
                () -> events(successor, "USAGE_REPORTED").size() > reportedBefore);
        resume(paused, USAGE_LEASE);

        Await.until("all usage is reported", TWO_WINDOWS_SECONDS, () -> reportedRequests() == servedRequests());
        assertOneReportPerWindow();
        Set<String> both = new HashSet<>(events(paused, "USAGE_REPORTED"));
        both.retainAll(events(successor, "USAGE_REPORTED"));
        assertThat(both).isEmpty();
    }

    private static List<String> events(LeaseHolder holder, String name) throws IOException {
        return events(fleet.member(holder.name()), name);
    }

    /** Returns the subjects of the events with the given name that a daemon recorded. */
    private static List<String> events(FleetMember daemon, String name) throws IOException {
        List<String> subjects = new ArrayList<>();
        for (JsonNode event : fleet.events(daemon)) {
            if (event.path("name").asText().equals(name)) {
                subjects.add(event.path("subject").asText());
            }
        }
        return subjects;
    }

    /** Returns the number of requests that were accepted and completed; the fleet has one router. */
    private static long servedRequests() throws IOException {
        Set<String> served = new HashSet<>(events(fleet.member("router-1"), "REQUEST_ACCEPTED"));
        served.retainAll(events(fleet.member("router-1"), "REQUEST_COMPLETED"));
        return served.size();
    }

    private static JsonNode reports() throws IOException {
        return fleet.control("platform-1", "GET", "/v1/usage-reports", null);
    }

    private static long reportedRequests() throws IOException {
        Map<String, Long> byWindow = new HashMap<>();
        for (JsonNode report : reports()) {
            long requests = report.path("body").findValues("requests").stream()
                    .mapToLong(JsonNode::asLong)
                    .sum();
            byWindow.put(report.path("window").asText(), requests);
        }
        return byWindow.values().stream().mapToLong(Long::longValue).sum();
    }

    /** Asserts that windows are reported in order and that repeated reports of a window are identical. */
    private static void assertOneReportPerWindow() throws IOException {
        Map<String, String> digests = new HashMap<>();
        long previous = 0;
        for (JsonNode report : reports()) {
            String window = report.path("window").asText();
            String digest = report.path("body_sha256").asText();
            assertThat(digests.getOrDefault(window, digest)).isEqualTo(digest);
            digests.put(window, digest);
            assertThat(Long.parseLong(window)).isAtLeast(previous);
            previous = Long.parseLong(window);
        }
    }
}
