package org.cranberrybend.integration.fleet;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import org.cranberrybend.experiment.check.Completion;
import org.cranberrybend.experiment.check.EventStream;
import org.cranberrybend.experiment.check.FleetFile.FleetMember;
import org.cranberrybend.experiment.check.HttpExchange;
import org.cranberrybend.runtime.http.HttpResult;
import org.junit.jupiter.api.Test;

class RouterFailureTest {
    private static final int STREAM_TOKENS = 400;
    private static final int STREAMS_PER_ROUTER = 4;
    private static final int LOAD_THREADS = 6;
    private static final int REQUESTS_BEFORE_STOP = 60;

    private static Completion prompt(String text, int tokens) {
        return new Completion(true, Fleet.MODEL, text, tokens);
    }

    /** Returns the router that owns the model's shard. */
    private static FleetMember owner(Fleet fleet) throws IOException {
        FleetMember owner = null;
        for (FleetMember router : fleet.withRole("router")) {
            boolean owns = false;
            for (JsonNode event : fleet.events(router)) {
                if (event.path("subject").asText().startsWith(Fleet.ZONE + "/" + Fleet.MODEL)) {
                    owns = event.path("name").asText().equals("SHARD_OWNED");
                }
            }
            owner = owns ? router : owner;
        }
        return owner;
    }

    // Killing a router, even the owner of a shard, must not end streams of other routers or fail their new requests.
    @Test
    void routerKilled() throws Exception {
        try (Fleet fleet = Fleet.start("router-killed", FleetPlan.of(3, 2, 2, 1))) {
            FleetMember victim = owner(fleet);
            List<FleetMember> survivors = new ArrayList<>(fleet.withRole("router"));
            survivors.remove(victim);
            List<EventStream> streams = new ArrayList<>();
            for (int i = 0; i < STREAMS_PER_ROUTER * survivors.size(); i++) {
                FleetMember router = survivors.get(i % survivors.size());
                streams.add(fleet.stream(router, prompt("stream " + i, STREAM_TOKENS))
                        .readTokens(2));
            }
            fleet.processes().kill(victim.name());
            Fleet.await("a survivor declares the killed router dead", () -> {
                for (FleetMember router : survivors) {
                    assertServed(fleet, router);
                }
                return hasEvent(fleet, survivors.get(0), "MEMBER_DEAD", victim.name() + "/router");
            });
            for (int i = 0; i < streams.size(); i++) {
                try (EventStream stream = streams.get(i).readAll()) {
                    assertThat(stream.errorCode()).isEmpty();
                    assertThat(stream.text()).isEqualTo(Fleet.expectedText(prompt("stream " + i, STREAM_TOKENS)));
                    assertThat(stream.isComplete()).isTrue();
                }
            }
            for (FleetMember router : survivors) {
                Completion counter = prompt("counter", 2);
                Map<String, String> shortTarget = Map.of("X-Request-Class", "counter");
                Fleet.await("the class with the shortest target is served by " + router.name(), () -> fleet.call(
                                router, "POST", counter.path(), shortTarget, counter.body(false))
                        .isSuccess());
            }
        }
    }

    private static boolean hasEvent(Fleet fleet, FleetMember daemon, String name, String subject) throws IOException {
        for (JsonNode event : fleet.events(daemon)) {
            if (event.path("name").asText().equals(name)
                    && event.path("subject").asText().equals(subject)) {
                return true;
            }
        }
        return false;
    }

    private static void assertServed(Fleet fleet, FleetMember router) {
        try {
            HttpResult model = fleet.complete(router, prompt("survivor", 2));
            assertWithMessage(model.text()).that(model.status()).isEqualTo(200);
            HttpResult stock = fleet.call(router, "GET", "/stock/1", Map.of(), null);
            assertWithMessage(stock.text()).that(stock.status()).isEqualTo(200);
        } catch (IOException e) {
            throw new AssertionError("no response from " + router.name(), e);
        }
    }

    // A graceful shutdown must not interrupt in-flight requests, requests that arrive while the load balancer still
    // considers the instance ready, or requests that wait at a shard that the instance owns.
    @Test
    void routerStoppedUnderLoad() throws Exception {
        try (Fleet fleet = Fleet.start("router-stopped", FleetPlan.of(2, 1, 2, 1))) {
            FleetMember stopped = owner(fleet);
            FleetMember other = fleet.withRole("router").stream()
                    .filter(each -> !each.equals(stopped))
                    .findFirst()
                    .orElseThrow();
            Completion longPrompt = prompt("running at the stop", STREAM_TOKENS);
            ExecutorService callers = Executors.newFixedThreadPool(LOAD_THREADS * 2);
            try (EventStream running = fleet.stream(stopped, longPrompt).readTokens(2)) {
                AtomicInteger sent = new AtomicInteger();
                List<Future<?>> load = new ArrayList<>();
                for (int i = 0; i < LOAD_THREADS; i++) {
                    load.add(callers.submit(() -> sendWhileReady(fleet, stopped, stopped, sent)));
                    load.add(callers.submit(() -> sendWhileReady(fleet, other, stopped, sent)));
                }
                Fleet.await("load runs", () -> sent.get() >= REQUESTS_BEFORE_STOP);
                fleet.processes().signal(stopped.name(), "TERM");
                for (Future<?> each : load) {
                    each.get();
                }
                running.readAll();
                assertThat(running.errorCode()).isEmpty();
                assertThat(running.text()).isEqualTo(Fleet.expectedText(longPrompt));
            } finally {
                callers.shutdownNow();
            }
            assertThat(fleet.processes().awaitExit(stopped.name())).isTrue();
            assertServed(fleet, other);
        }
    }

    /** Sends requests to a router until the watched router reports that it is not ready, as a load balancer would. */
    private static Void sendWhileReady(Fleet fleet, FleetMember router, FleetMember watched, AtomicInteger sent)
            throws IOException {
        while (isReady(watched)) {
            assertServed(fleet, router);
            Completion completion = prompt("load " + sent.incrementAndGet(), 5);
            try (EventStream stream = fleet.stream(router, completion).readAll()) {
                assertThat(stream.errorCode()).isEmpty();
                assertThat(stream.text()).isEqualTo(Fleet.expectedText(completion));
            }
        }
        return null;
    }

    private static boolean isReady(FleetMember router) {
        try {
            return HttpExchange.call(router.address("admin"), "GET", "/readyz", Map.of(), null)
                    .isSuccess();
        } catch (IOException e) {
            return false;
        }
    }
}
