package org.cranberrybend.controller.upstream;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.apache.commons.rng.simple.RandomSource;
import org.cranberrybend.controller.schedule.Backoff;
import org.cranberrybend.controller.schedule.ControllerRanking;
import org.cranberrybend.controller.testing.FixedMembers;
import org.cranberrybend.core.event.EventCode;
import org.cranberrybend.core.membership.Member;
import org.cranberrybend.core.membership.MemberState;
import org.cranberrybend.core.routing.Upstream;
import org.cranberrybend.core.time.ManualTimeSource;
import org.cranberrybend.runtime.event.EventLog;
import org.cranberrybend.runtime.platform.CallOutcome;
import org.cranberrybend.runtime.platform.InstanceList;
import org.cranberrybend.runtime.platform.PlatformException;
import org.cranberrybend.runtime.platform.PlatformInstance;
import org.cranberrybend.wire.node.UpstreamSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class InstanceListPollerTest {
    private static final String ZONE = "szeged-a";

    /** Records the list that was offered last. */
    private static final class RecordingUpstreamSource implements UpstreamSource {
        private final List<Upstream> last = new ArrayList<>();
        private long readAtMs = -1;

        @Override
        public long upstreamsReadAtMs() {
            throw new AssertionError("not expected");
        }

        @Override
        public List<Upstream> upstreams() {
            return last;
        }

        @Override
        public void offerUpstreams(List<Upstream> upstreams, long offeredReadAtMs) {
            last.clear();
            last.addAll(upstreams);
            readAtMs = offeredReadAtMs;
        }

        @Override
        public void addUpstreamListener(Runnable listener) {
            // No test waits for changes.
        }
    }

    private static PlatformInstance instance(String id, boolean entry, List<String> services) {
        return new PlatformInstance(id, entry, ZONE, "alfold", false, "127.0.0.1", 1, true, services, 8, false, true);
    }

    private static InstanceListPoller poller(
            InstanceList list, RecordingUpstreamSource offers, ManualTimeSource time, EventLog events) {
        ControllerRanking ranking = new ControllerRanking(FixedMembers.alone("a", ZONE));
        Backoff backoff = new Backoff(500, 10_000, RandomSource.SPLIT_MIX_64.create(1L));
        return new InstanceListPoller(list, offers, ranking, backoff, time, events, 1_000);
    }

    // Guards against entry instances that are treated as upstreams,
    // and against a delayed list that replaces a newer one.
    @Test
    void offersUpstreamsAsOfTheTimeBeforeTheRead() {
        ManualTimeSource time = new ManualTimeSource(1_000);
        RecordingUpstreamSource offers = new RecordingUpstreamSource();
        InstanceList list = () -> {
            time.advanceMs(500);
            return List.of(
                    instance("entry", true, List.of()),
                    instance("engine", false, List.of("stub-writer")),
                    instance("empty", false, List.of()));
        };

        poller(list, offers, time, FixedMembers.alone("a", ZONE).eventLog(time)).run();

        assertThat(offers.last.stream().map(Upstream::id)).containsExactly("engine");
        assertThat(offers.readAtMs).isEqualTo(1_000);
    }

    // Guards against an outage that clears the list of upstreams or is recorded with each attempt.
    @Test
    void outageKeepsTheLastList() {
        ManualTimeSource time = new ManualTimeSource(1_000);
        RecordingUpstreamSource offers = new RecordingUpstreamSource();
        EventLog events = FixedMembers.alone("a", ZONE).eventLog(time);
        boolean[] down = {false};
        InstanceListPoller poller = poller(
                () -> {
                    if (down[0]) {
                        throw new PlatformException("instances", CallOutcome.NOT_ACCEPTED);
                    }
                    return List.of(instance("engine", false, List.of("stub-writer")));
                },
                offers,
                time,
                events);
        poller.run();
        down[0] = true;
        poller.run();
        poller.run();

        assertThat(offers.last).hasSize(1);
        assertThat(events.eventsAfter(0).stream().map(each -> each.code()))
                .containsExactly(EventCode.STORE_UNAVAILABLE);
    }

    // Guards against a zone without an active controller, and against members that are ranked but cannot be active.
    @ParameterizedTest
    @CsvSource({
        "'', 1, 1",
        "'controller/szeged-a/ALIVE', 2, 1",
        "'controller/szeged-a/ALIVE controller/szeged-a/SUSPECT controller/szeged-a/ALIVE', 2, 1",
        "'controller/szeged-a/LEAVING controller/debrecen-a/ALIVE router/szeged-a/ALIVE', 1, 1",
    })
    void activeControllers(String others, int active, int first) {
        List<Member> members = new ArrayList<>(List.of(FixedMembers.controller("a", ZONE)));
        Stream<String> texts = Arrays.stream(others.split(" ")).filter(each -> !each.isEmpty());
        texts.forEach(text -> {
            String[] parts = text.split("/");
            members.add(FixedMembers.member("m" + members.size(), parts[0], parts[1], MemberState.valueOf(parts[2])));
        });
        List<ControllerRanking> rankings = members.stream()
                .filter(each -> each.identity().role().equals(ControllerRanking.ROLE)
                        && each.identity().zone().equals(ZONE)
                        && each.state() != MemberState.LEAVING)
                .map(each -> new ControllerRanking(new FixedMembers(each, members)))
                .toList();

        assertThat(rankings.stream().filter(ControllerRanking::isActive)).hasSize(active);
        assertThat(rankings.stream().filter(ControllerRanking::isFirst)).hasSize(first);
    }
}
