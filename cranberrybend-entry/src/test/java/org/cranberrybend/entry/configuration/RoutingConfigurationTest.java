package org.cranberrybend.entry.configuration;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.cranberrybend.entry.http.ServerLimits;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RoutingConfigurationTest {
    private static final String SERVICE = "model";

    private static Route route(String name, long targetLatencyMs, long eventGapTargetMs) {
        return new Route(
                name,
                "site.example",
                "/" + name + "/",
                RetryRule.RESUMABLE,
                true,
                10_000,
                targetLatencyMs,
                eventGapTargetMs,
                0,
                List.of(new Route.Target(SERVICE, 1)),
                2,
                false);
    }

    // Guards against dividing the engines of a service whose routes all have similar targets, where a part of the
    // engines would serve everything while the others are idle, and against long prompts beside streams with a tight
    // target for pauses, whatever the targets for the first event.
    @ParameterizedTest
    @CsvSource({
        "2000/200, 500/200, 600/200, TOLERANT, SENSITIVE, SENSITIVE",
        "1514/800, 306/200, 510/300, TOLERANT, SENSITIVE, SENSITIVE",
        "1200/200, 800/200, 800/200, UNIFORM, UNIFORM, UNIFORM",
        "500/0, 500/0, 500/0, UNIFORM, UNIFORM, UNIFORM",
        "2027/800, 1219/300, 1211/200, TOLERANT_OF_PAUSES, TOLERANT_OF_PAUSES, SENSITIVE_TO_PAUSES",
        "1200/0, 1200/200, 1200/300, TOLERANT_OF_PAUSES, SENSITIVE_TO_PAUSES, TOLERANT_OF_PAUSES",
        "1200/250, 1200/200, 1200/200, UNIFORM, UNIFORM, UNIFORM"
    })
    void latencyClassFollowsTheTargetsOfTheService(
            String firstMs,
            String secondMs,
            String thirdMs,
            LatencyClass first,
            LatencyClass second,
            LatencyClass third) {
        List<Route> routes = new ArrayList<>();
        for (String targetsMs : List.of(firstMs, secondMs, thirdMs)) {
            String[] targets = targetsMs.split("/");
            routes.add(route("route-" + routes.size(), Long.parseLong(targets[0]), Long.parseLong(targets[1])));
        }
        RoutingConfiguration configuration = new RoutingConfiguration(
                1, routes, List.of(), Map.of(), false, new ServerLimits(8_192, 1_000, 1_000, 1_000));
        List<LatencyClass> classes = routes.stream()
                .map(route -> configuration.latencyClass(route, SERVICE))
                .collect(Collectors.toList());
        assertThat(classes).containsExactly(first, second, third).inOrder();
    }
}
