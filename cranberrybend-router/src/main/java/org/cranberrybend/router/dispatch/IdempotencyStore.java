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

/** Idempotency records in the platform's key-value store. */
public final class IdempotencyStore {
    // The store accepts values up to 1 MiB; base64 adds a third.
    private static final int MAX_STORED_BODY_BYTES = 700_000;

    private final KeyValueClient client;
    private final TimeSource timeSource;

    /** Creates an idempotency store on the platform's key-value store. */
    public IdempotencyStore(KeyValueClient client, TimeSource timeSource) {
        this.client = client;
        this.timeSource = timeSource;
    }

    /**
     * Result of claiming an Idempotency-Key for a request.
     *
     * @param decision whether the request may be executed, and if not, why
     * @param key key of the record
     * @param record reservation of this request on a first run, otherwise the stored record; null if it was not read
     * @param revision revision of the record
     */
    record Claim(IdempotencyDecision decision, String key, IdempotencyRecord record, long revision) {}

    /** Returns the key of a record. The caller's Idempotency-Key is hashed, because it may be any text. */
    static String recordKey(String account, String route, String idempotencyKey) {
        return "idempotency/" + account + "/" + route + "/" + CanonicalJson.digestHex(idempotencyKey);
    }

    /** Returns the digest that identifies a request; reuse of an Idempotency-Key with another digest is a mismatch. */
    static String requestDigest(String method, String target, byte[] body) {
        Hasher hasher = Hashing.sha256().newHasher();
        hasher.putString(method + "\n" + target + "\n", StandardCharsets.UTF_8);
        return hasher.putBytes(body).hash().toString();
    }

    /** Reserves a key for a request, or returns why the request must not be executed. */
    Claim claim(String key, String requestDigest, String requestId, long runLimitMs) {
        long expiresAtMs = timeSource.wallMs() + runLimitMs;
        IdempotencyRecord reservation = IdempotencyRecord.reservation(requestDigest, requestId, expiresAtMs);
        try {
            OptionalLong revision = client.compareAndSwap(key, 0, bytes(reservation));
            if (revision.isPresent()) {
                return new Claim(IdempotencyDecision.FIRST_RUN, key, reservation, revision.getAsLong());
            }
        } catch (PlatformException e) {
            // The write may have been applied; reading the record shows whether it was.
            return readRecord(key, requestDigest, requestId);
        }
        return readRecord(key, requestDigest, requestId);
    }

    private Claim readRecord(String key, String requestDigest, String requestId) {
        try {
            VersionedValue value = client.get(key);
            if (!value.exists()) {
                // A delayed write may still be applied, so executing the request now could execute it twice.
                return storeUnavailable(key);
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
            return storeUnavailable(key);
        }
    }

    private static Claim storeUnavailable(String key) {
        return new Claim(IdempotencyDecision.STORE_UNAVAILABLE, key, null, 0);
    }

    /** Stores the response of a first run; returns whether the store confirmed it, else the reservation may remain. */
    boolean complete(Claim claim, int status, String contentType, byte[] body) {
        String stored =
                body.length > MAX_STORED_BODY_BYTES ? null : Base64.getEncoder().encodeToString(body);
        return replace(claim, claim.record().completed(status, contentType, stored));
    }

    /** Records that the outcome of a first run cannot be determined. */
    boolean markOutcomeUnknown(Claim claim) {
        return replace(claim, claim.record().outcomeUnknown());
    }

    /** Removes the reservation of a request that no upstream received, or that the upstream rejected. */
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
