package org.cranberrybend.entry.request;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.cranberrybend.entry.configuration.LatencyClass;
import org.cranberrybend.entry.configuration.RegionConstraint;
import org.cranberrybend.entry.configuration.RetryRule;
import org.cranberrybend.entry.configuration.Route;
import org.cranberrybend.entry.upstream.Prompt;
import org.junit.jupiter.api.Test;

class RoutedRequestTest {
    private static int enginePriority(int requestPriority, int routePriority) {
        Route route = new Route(
                "route",
                "site.example",
                "/x/",
                RetryRule.ONCE,
                true,
                1_000,
                500,
                0,
                routePriority,
                List.of(new Route.Target("model", 1)),
                1,
                false);
        return new RoutedRequest(
                        "a1",
                        "POST",
                        "/x/",
                        List.of(),
                        new byte[0],
                        route,
                        "model",
                        Optional.empty(),
                        requestPriority,
                        LatencyClass.SENSITIVE,
                        Prompt.NONE,
                        0,
                        0,
                        1_000,
                        "",
                        RegionConstraint.NONE)
                .enginePriority();
    }

    // Guards against a draft displacing a chat of the same account, because both requests have the account's priority.
    @Test
    void routesOfOneAccountHaveDifferentEnginePriorities() {
        assertThat(enginePriority(1, 0)).isLessThan(enginePriority(1, 1));
        assertThat(enginePriority(1, 1)).isLessThan(enginePriority(1, 2));
    }

    // Guards against ordering the routes of a lower request priority before those of a higher one.
    @Test
    void requestPriorityTakesPrecedenceOverRoutePriority() {
        assertThat(enginePriority(0, 2)).isLessThan(enginePriority(1, 0));
        assertThat(enginePriority(1, 2)).isLessThan(enginePriority(2, 0));
    }

    @Test
    void enginePriorityStaysWithinItsRange() {
        assertThat(enginePriority(0, 0)).isEqualTo(0);
        assertThat(enginePriority(7, 7)).isEqualTo(9);
    }
}
