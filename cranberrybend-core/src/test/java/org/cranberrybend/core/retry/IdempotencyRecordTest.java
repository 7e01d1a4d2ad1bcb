package org.cranberrybend.core.retry;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import org.cranberrybend.core.configuration.CanonicalJson;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A request with an Idempotency-Key must never be executed twice. */
class IdempotencyRecordTest {
    private static final long EXPIRES_AT_MS = 1_000;

    /** Covers each state of the record: a wrong decision sends the request twice or replays a wrong response. */
    @ParameterizedTest
    @CsvSource({
        "NONE,            same,  0,    FIRST_RUN",
        "RESERVED,        same,  0,    IN_PROGRESS",
        "RESERVED,        same,  999,  IN_PROGRESS",
        "RESERVED,        same,  1000, OUTCOME_UNKNOWN",
        "RESERVED,        other, 0,    MISMATCH",
        "RESERVED,        other, 1000, MISMATCH",
        "COMPLETED,       same,  0,    REPLAY",
        "COMPLETED,       same,  9999, REPLAY",
        "COMPLETED,       other, 0,    MISMATCH",
        "NOT_STORED,      same,  0,    RESPONSE_NOT_STORED",
        "OUTCOME_UNKNOWN, same,  0,    OUTCOME_UNKNOWN",
        "OUTCOME_UNKNOWN, other, 0,    MISMATCH"
    })
    void decisionTable(String stored, String digest, long nowMs, IdempotencyDecision expected) {
        assertThat(IdempotencyRecord.decide(record(stored), digest, nowMs)).isEqualTo(expected);
    }

    private static Optional<IdempotencyRecord> record(String stored) {
        IdempotencyRecord reserved = IdempotencyRecord.reservation("same", "req-1", EXPIRES_AT_MS);
        switch (stored) {
            case "RESERVED":
                return Optional.of(reserved);
            case "COMPLETED":
                return Optional.of(reserved.completed(500, "text/plain", ""));
            case "NOT_STORED":
                return Optional.of(reserved.completed(200, "text/plain", null));
            case "OUTCOME_UNKNOWN":
                return Optional.of(reserved.outcomeUnknown());
            default:
                return Optional.empty();
        }
    }

    /** A record written by one router must be readable by another. */
    @Test
    void recordSurvivesJson() throws Exception {
        IdempotencyRecord record =
                IdempotencyRecord.reservation("same", "req-1", EXPIRES_AT_MS).completed(201, null, "AA==");
        String json = CanonicalJson.write(record);
        assertThat(CanonicalJson.mapper().readValue(json, IdempotencyRecord.class))
                .isEqualTo(record);
    }
}
