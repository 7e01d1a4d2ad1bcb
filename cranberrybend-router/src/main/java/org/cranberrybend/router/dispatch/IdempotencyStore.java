package org.cranberrybend.router.dispatch;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Optional;
import java.util.OptionalLong;
import org.cranberrybend.core.configuration.CanonicalJson;
import org.cranberrybend.core.retry.IdempotencyDecision;
import org.cranberrybend.core.retry.IdempotencyRecord;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.runtime.platform.KeyValueClient;
import org.cranberrybend.runtime.platform.PlatformException;
import org.cranberrybend.runtime.platform.VersionedValue;

/** Idempotency records in the platform's key-value service. */
public final class IdempotencyStore {
    // The service holds values up to 1 MiB; base64 adds a third.
    private static final int MAX_STORED_BODY_BYTES = 700_000;

    private final KeyValueClient client;
    private final TimeSource timeSource;

    /** Creates a store over the platform's key-value service. */
    public IdempotencyStore(KeyValueClient client, TimeSource timeSource) {
        this.client = client;
        this.timeSource = timeSource;
    }

    /**
     * What was decided about a request.
     *
     * @param decision decision
     * @param key key of the record
     * @param record own reservation on a first run, or the stored record
     * @param revision revision of the record
     */
    record Claim(IdempotencyDecision decision, String key, IdempotencyRecord record, long revision) {}

    /** Returns the key of a record. The caller's Idempotency-Key is hashed, because it may be any text. */
    static String recordKey(String account, String route, String idempotencyKey) {
        return "idempotency/" + account + "/" + route + "/" + CanonicalJson.digestHex(idempotencyKey);
    }

    /** Returns the digest by which two requests with the same Idempotency-Key are compared. */
    static String requestDigest(String method, String target, byte[] body) {
        Hasher hasher = Hashing.sha256().newHasher();
        hasher.putString(method + "\n" + target + "\n", StandardCharsets.UTF_8);
        return hasher.putBytes(body).hash().toString();
    }

    /** Reserves a key for a request, or finds out why it must not run. */
    Claim claim(String key, String requestDigest, String requestId, long runLimitMs) {
        long expiresAtMs = timeSource.wallMs() + runLimitMs;
        IdempotencyRecord reservation = IdempotencyRecord.reservation(requestDigest, requestId, expiresAtMs);
        try {
            OptionalLong revision = client.compareAndSwap(key, 0, bytes(reservation));
            if (revision.isPresent()) {
                return new Claim(IdempotencyDecision.FIRST_RUN, key, reservation, revision.getAsLong());
            }
        } catch (PlatformException e) {
            // The write may have taken effect; reading the record tells.
            return resolve(key, requestDigest, requestId);
        }
        return resolve(key, requestDigest, requestId);
    }

    private Claim resolve(String key, String requestDigest, String requestId) {
        try {
            VersionedValue value = client.get(key);
            if (!value.exists()) {
                // Absent after a lost write: the write may still arrive, so running now could run twice.
                return unavailable(key);
            }
            IdempotencyRecord stored = CanonicalJson.mapper()
                    .readValue(new String(value.value(), StandardCharsets.UTF_8), IdempotencyRecord.class);
            if (stored.requestId().equals(requestId)) {
                return new Claim(IdempotencyDecision.FIRST_RUN, key, stored, value.revision());
            }
            IdempotencyDecision decision =
                    IdempotencyRecord.decide(Optional.of(stored), requestDigest, timeSource.wallMs());
            return new Claim(decision, key, stored, value.revision());
        } catch (PlatformException | JsonProcessingException e) {
            return unavailable(key);
        }
    }

    private static Claim unavailable(String key) {
        return new Claim(IdempotencyDecision.STORE_UNAVAILABLE, key, null, 0);
    }

    /** Records the response of a first run and returns whether it was stored. Otherwise the reservation stays. */
    boolean complete(Claim claim, int status, String contentType, byte[] body) {
        String stored =
                body.length > MAX_STORED_BODY_BYTES ? null : Base64.getEncoder().encodeToString(body);
        return replace(claim, claim.record().completed(status, contentType, stored));
    }

    /** Records that the outcome of a first run will never be known. */
    boolean markOutcomeUnknown(Claim claim) {
        return replace(claim, claim.record().outcomeUnknown());
    }

    /** Removes the reservation of a request of which no byte reached an upstream or that it did not run. */
    boolean release(Claim claim) {
        try {
            return client.compareAndDelete(claim.key(), claim.revision());
        } catch (PlatformException e) {
            return false;
        }
    }

    private boolean replace(Claim claim, IdempotencyRecord record) {
        try {
            return client.compareAndSwap(claim.key(), claim.revision(), bytes(record))
                    .isPresent();
        } catch (PlatformException e) {
            return false;
        }
    }

    private static byte[] bytes(IdempotencyRecord record) {
        return CanonicalJson.write(record).getBytes(StandardCharsets.UTF_8);
    }
}
