package org.cranberrybend.entry.request;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.cranberrybend.entry.configuration.RetryRule;
import org.cranberrybend.entry.configuration.Route;
import org.cranberrybend.entry.upstream.Prompt;
import org.junit.jupiter.api.Test;

class RoutedRequestTest {
    private static int rank(int inForce, int ofRoute) {
        Route route = new Route(
                "route",
                "site.example",
                "/x/",
                RetryRule.ONCE,
                true,
                1_000,
                500,
                0,
                ofRoute,
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
                        inForce,
                        true,
                        Prompt.NONE,
                        0,
                        0,
                        1_000,
                        "")
                .engineRank();
    }

    // Guards against a chat that is displaced while a draft of an account with the same rank runs on.
    @Test
    void routesOfOneAccountAreToldApart() {
        assertThat(rank(1, 0)).isLessThan(rank(1, 1));
        assertThat(rank(1, 1)).isLessThan(rank(1, 2));
    }

    // Guards against an account of a higher rank behind the routes of a lower one.
    @Test
    void rankInForceGoesFirst() {
        assertThat(rank(0, 2)).isLessThan(rank(1, 0));
        assertThat(rank(1, 2)).isLessThan(rank(2, 0));
    }

    @Test
    void ranksStayWithinWhatEnginesKnow() {
        assertThat(rank(0, 0)).isEqualTo(0);
        assertThat(rank(7, 7)).isEqualTo(9);
    }
}
