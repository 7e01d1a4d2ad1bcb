package org.cranberrybend.experiment;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.cranberrybend.core.account.RequestClass;
import org.cranberrybend.core.account.Tier;
import org.cranberrybend.core.routing.Market;
import org.cranberrybend.core.routing.UpstreamKind;
import org.cranberrybend.runtime.lifecycle.ExitCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ExperimentTest {
    private static final EngineSpec SPEC =
            new EngineSpec("szeged-a", "alfold", "stub", UpstreamKind.ENGINE, 2, 1, Market.GUARANTEED);

    private static SimRequest request(int number, double promptTokens, double outputTokens) {
        RequestClass requestClass = new RequestClass("chat", Tier.TIER_0, 1_000, 100, 0);
        ClassSpec spec = new ClassSpec(requestClass, "stub", 1, promptTokens, outputTokens, true);
        return new SimRequest(number, spec, "account-0", "szeged-a", 0, promptTokens, outputTokens);
    }

    // Guards against a model in which batching does not slow decoding down or slots are not limited. The expected
    // times follow from the constants of EngineSpec.
    @ParameterizedTest
    @CsvSource({"1, 1500", "2, 1678", "3, 3084"})
    void engineTimesFollowTheBatch(int requests, long lastEndMs) {
        List<SimRequest> finished = new ArrayList<>();
        EngineModel engine = new EngineModel("engine", SPEC, 0, finished::add);
        for (int number = 0; number < requests; number++) {
            engine.start(request(number, 800, 100), 0);
        }
        engine.advance(10_000);
        assertThat(finished).hasSize(requests);
        assertThat(finished.get(requests - 1).endMs).isWithin(1).of(lastEndMs);
        assertThat(finished.get(0).processedTokens).isWithin(1e-3).of(900);
    }

    // Guards against results that the same seed does not reproduce.
    @Test
    void sameSeedGivesSameArrivals() {
        List<SimRequest> first = Workload.arrivals(Deployment.JEGYHID, 7);
        List<SimRequest> second = Workload.arrivals(Deployment.JEGYHID, 7);
        assertThat(first).hasSize(second.size());
        for (int index = 0; index < first.size(); index++) {
            assertThat(first.get(index).arrivalMs).isEqualTo(second.get(index).arrivalMs);
            assertThat(first.get(index).outputTokens).isEqualTo(second.get(index).outputTokens);
        }
        assertThat(first.size())
                .isNotEqualTo(Workload.arrivals(Deployment.JEGYHID, 8).size());
    }

    // Guards against invalid options that are ignored or end with the wrong exit code.
    @ParameterizedTest
    @CsvSource({
        "--help, SUCCESS",
        "--version, SUCCESS",
        "--seeds=x, USAGE",
        "--deployment=none, USAGE",
        "--output=xml, USAGE",
        "--plot=plot.gif, USAGE",
        "--unknown, USAGE",
    })
    void exitCodes(String argument, ExitCode expected) {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        PrintStream stream = new PrintStream(output, true, StandardCharsets.UTF_8);
        assertThat(ExperimentMain.run(new String[] {argument}, stream, stream)).isEqualTo(expected);
        if (expected == ExitCode.USAGE) {
            assertThat(output.toString(StandardCharsets.UTF_8)).contains("--help");
        }
    }
}
