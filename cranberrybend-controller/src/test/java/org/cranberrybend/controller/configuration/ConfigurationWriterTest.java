package org.cranberrybend.controller.configuration;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import org.cranberrybend.controller.testing.CallFault;
import org.cranberrybend.controller.testing.FaultyKeyValueStore;
import org.cranberrybend.core.configuration.CanonicalJson;
import org.cranberrybend.core.configuration.EntityChange;
import org.cranberrybend.core.configuration.EntityKind;
import org.cranberrybend.core.configuration.RevocationSet;
import org.cranberrybend.core.error.ErrorCode;
import org.cranberrybend.core.error.RequestFailedException;
import org.cranberrybend.core.error.RunState;
import org.cranberrybend.core.event.EventCode;
import org.cranberrybend.core.time.ManualTimeSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ConfigurationWriterTest {
    private static final String DIGEST = "0".repeat(64);
    private static final String TEMPLATE = "{'request_classes':[{'name':'quick','tier':0,'first_token_target_ms':800,"
            + "'inter_token_target_ms':50,'guaranteed_share_ratio':0.1}],'max_concurrent_requests':4}";
    private static final String ACCOUNT =
            "{'template':'counter','keys':[{'key_id':'k1','digest_hex':'" + DIGEST + "','revoked':%s}]}";

    private final FaultyKeyValueStore store = new FaultyKeyValueStore();
    private final ManualTimeSource time = new ManualTimeSource(1_000_000);
    private final ConfigurationFixture first = new ConfigurationFixture("a", store, time);
    private final ConfigurationFixture second = new ConfigurationFixture("b", store, time);

    private static EntityChange change(String kind, String name, String value) throws JsonProcessingException {
        return new EntityChange(
                EntityKind.of(kind), name, CanonicalJson.mapper().readTree(value.replace('\'', '"')));
    }

    private static ChangeRequest request(long seen, String author, EntityChange... changes) {
        return new ChangeRequest(seen, author, List.of(changes), false);
    }

    private void writeAccount(boolean revoked) throws JsonProcessingException, RequestFailedException {
        first.writer.write(request(
                0,
                "ana",
                change("template", "counter", TEMPLATE),
                change("account", "north", String.format(ACCOUNT, revoked))));
    }

    // Guards against a lost update, and against a conflict error that does not name the conflicting change.
    @Test
    void conflictNamesAuthorAndEntities() throws RequestFailedException {
        first.writer.write(ConfigurationFixture.setting(0, "ana", "limit", 1));

        RequestFailedException e = assertThrows(
                RequestFailedException.class,
                () -> second.writer.write(ConfigurationFixture.setting(0, "ben", "limit", 2)));

        assertThat(e.code()).isEqualTo(ErrorCode.REVISION_CONFLICT);
        assertThat(e).hasMessageThat().contains("revision 1 by ana: set setting/limit");
    }

    // Guards against a change set that is applied in part, and against validation errors
    // that are reported one at a time.
    @Test
    void everyValidationErrorIsReportedAndNothingIsWritten() {
        RequestFailedException e = assertThrows(
                RequestFailedException.class,
                () -> first.writer.write(request(
                        0,
                        "ana",
                        change("setting", "limit", "1"),
                        change("account", "north", "{'template':'missing'}"),
                        change("model", "m", "{'max_output_tokens':0,'context_tokens':5}"))));

        assertThat(e.code()).isEqualTo(ErrorCode.CONFIGURATION_INVALID);
        assertThat(e).hasMessageThat().contains("account/north.template");
        assertThat(e).hasMessageThat().contains("model/m");
        assertThat(store.keys("")).isEmpty();
    }

    // Guards against a dry run that changes the configuration.
    @Test
    void dryRunWritesNothing() throws RequestFailedException, JsonProcessingException {
        ChangeRequest request = new ChangeRequest(0, "ana", List.of(change("setting", "limit", "1")), true);

        assertThat(first.writer.write(request).revision()).isEqualTo(1);
        assertThat(store.keys("")).isEmpty();
    }

    // Guards against an operator who undoes a revocation with an older copy of the account.
    @Test
    void revokedKeyStaysRevoked() throws RequestFailedException, JsonProcessingException {
        writeAccount(true);

        EntityChange reinstated = change("account", "north", String.format(ACCOUNT, false));
        RequestFailedException e =
                assertThrows(RequestFailedException.class, () -> first.writer.write(request(1, "ben", reinstated)));

        assertThat(e).hasMessageThat().contains("key_id k1 is revoked");
    }

    // Guards against a revocation that is lost after an outage.
    @Test
    void pendingRevocationIsWrittenAfterTheOutage() throws RequestFailedException, JsonProcessingException {
        writeAccount(false);
        second.watcher.run();
        store.faults().setDown(true);
        second.accepted.revoke(RevocationSet.EMPTY.with("k1"));
        second.watcher.run();
        store.faults().setDown(false);

        second.watcher.run();

        assertThat(first.writer.confirmed().revision()).isEqualTo(2);
        assertThat(first.accepted.view().keyOwner("k1").orElseThrow().key().revoked())
                .isTrue();
        assertThat(second.count(EventCode.STORE_UNAVAILABLE)).isEqualTo(1);
        assertThat(second.count(EventCode.STORE_AVAILABLE)).isEqualTo(1);
    }

    // Guards against a wrong run state of a change whose response was lost, for each store call of a write.
    @ParameterizedTest
    @CsvSource({
        "'LOST_RESPONSE', accepted",
        "'NONE,LOST_RESPONSE,LOST_RESPONSE', accepted",
        "'NONE,NONE,NONE,LOST_RESPONSE', accepted",
        "'NONE,NONE,NONE,NOT_REACHED', accepted",
        "'NONE,NONE,NONE,LOST_RESPONSE,NOT_REACHED,LOST_RESPONSE,NOT_REACHED,NONE,NOT_REACHED,NOT_REACHED', unknown",
        "'NONE,NONE,NONE,REFUSED,REFUSED,REFUSED', not_run",
    })
    void outcomeOfAWriteWithFaults(String faults, String expected) {
        List<CallFault> sequence = new ArrayList<>();
        for (String each : faults.split(",")) {
            sequence.add(CallFault.valueOf(each));
        }
        store.faults().failNext(sequence);
        // A failure of the first read is reported as not run, and the operator repeats the change.
        String actual = write();
        if (sequence.get(0) != CallFault.NONE) {
            assertThat(actual).isEqualTo("not_run");
            actual = write();
        }
        assertThat(actual).isEqualTo(expected);
    }

    private String write() {
        try {
            first.writer.write(ConfigurationFixture.setting(0, "ana", "limit", 1));
            return "accepted";
        } catch (RequestFailedException e) {
            return e.runState() == RunState.NOT_RUN ? "not_run" : "unknown";
        }
    }

    // Guards against a head that exceeds the size limit of a value, and against heads or shards that change when
    // encoded and decoded.
    @Test
    void headKeepsTheLastChanges() throws RequestFailedException {
        for (int i = 0; i < 70; i++) {
            first.writer.write(ConfigurationFixture.setting(i, "ana", "s" + i, i));
        }
        ConfigurationHead head = ConfigurationCodec.readHead(
                store.read(ConfigurationRepository.HEAD_KEY).value());

        assertThat(head.recentChanges()).hasSize(ConfigurationCodec.MAX_RECENT_CHANGES);
        assertThat(head.revision()).isEqualTo(70);
        assertThat(head.previousDigest()).isEqualTo(head.recentChanges().get(63).previousDigest());
        second.watcher.run();
        assertThat(second.accepted.state()).isEqualTo(first.accepted.state());
        assertThat(ConfigurationCodec.shards(second.accepted.state()).stream()
                        .map(ConfigurationCodec.Shard::digest)
                        .collect(Collectors.toList()))
                .isEqualTo(head.shardDigests());
    }
}
