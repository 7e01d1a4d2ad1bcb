package org.cranberrybend.entry.configuration;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import org.cranberrybend.entry.http.ServerLimits;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RoutingConfigurationTest {
    private static final String SERVICE = "model";

    private static Route route(long targetLatencyMs) {
        return new Route(
                "route-" + targetLatencyMs,
                "site.example",
                "/" + targetLatencyMs + "/",
                RetryRule.RESUMABLE,
                true,
                10_000,
                targetLatencyMs,
                200,
                0,
                List.of(new Route.Target(SERVICE, 1)),
                2,
                false);
    }

    // Guards against dividing the engines of a service whose routes all have similar targets: a part of the engines
    // would serve everything while the others are idle.
    @ParameterizedTest
    @CsvSource({
        "2000, 500, 600, TOLERANT, SENSITIVE, SENSITIVE",
        "1514, 306, 510, TOLERANT, SENSITIVE, SENSITIVE",
        "1200, 800, 800, UNIFORM, UNIFORM, UNIFORM",
        "500, 500, 500, UNIFORM, UNIFORM, UNIFORM"
    })
    void latencyClassFollowsTheTargetsOfTheService(
            long firstMs, long secondMs, long thirdMs, LatencyClass first, LatencyClass second, LatencyClass third) {
        List<Route> routes = LongStream.of(firstMs, secondMs, thirdMs)
                .mapToObj(RoutingConfigurationTest::route)
                .collect(Collectors.toList());
        RoutingConfiguration configuration = new RoutingConfiguration(
                1, routes, List.of(), Map.of(), false, new ServerLimits(8_192, 1_000, 1_000, 1_000));
        List<LatencyClass> classes = routes.stream()
                .map(route -> configuration.latencyClass(route, SERVICE))
                .collect(Collectors.toList());
        assertThat(classes).containsExactly(first, second, third).inOrder();
    }
}
