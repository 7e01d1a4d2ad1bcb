package org.cranberrybend.controller.order;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.cranberrybend.core.configuration.CanonicalJson;
import org.cranberrybend.core.lease.OrderIntent;
import org.cranberrybend.core.lease.OrderState;
import org.cranberrybend.runtime.platform.KeyValueStore;
import org.cranberrybend.runtime.platform.PlatformException;
import org.cranberrybend.runtime.platform.VersionedValue;

/** Stores order intents in the key-value store. Every modification is a compare-and-swap. */
final class IntentStore {
    private final KeyValueStore store;

    IntentStore(KeyValueStore store) {
        this.store = store;
    }

    /** An intent together with the revision of its key. */
    record StoredIntent(OrderIntent intent, long revision) {}

    private static String key(OrderIntent intent) {
        return prefix(intent.zone()) + intent.orderId();
    }

    private static String prefix(String zone) {
        return "orders/" + zone + "/";
    }

    List<StoredIntent> list(String zone) throws PlatformException {
        List<StoredIntent> intents = new ArrayList<>();
        for (VersionedValue each : store.list(prefix(zone))) {
            intents.add(new StoredIntent(read(each), each.revision()));
        }
        return intents;
    }

    private static OrderIntent read(VersionedValue value) throws PlatformException {
        try {
            return CanonicalJson.mapper()
                    .readValue(new String(value.value(), StandardCharsets.UTF_8), OrderIntent.class);
        } catch (JsonProcessingException e) {
            throw new PlatformException(value.key() + " cannot be parsed", e);
        }
    }

    /** Creates an intent. Returns empty if the key already exists with different content. */
    Optional<StoredIntent> create(OrderIntent intent) throws PlatformException {
        return write(intent, 0);
    }

    /** Updates the state of an intent. Returns empty if another process modified the intent. */
    Optional<StoredIntent> updateState(StoredIntent stored, OrderState next) throws PlatformException {
        return write(stored.intent().withState(next), stored.revision());
    }

    /** Writes an intent. If the write fails, the key is read back, because the write may have taken effect. */
    private Optional<StoredIntent> write(OrderIntent intent, long expectedRevision) throws PlatformException {
        byte[] value = CanonicalJson.write(intent).getBytes(StandardCharsets.UTF_8);
        try {
            OptionalLong revision = store.compareAndSwap(key(intent), expectedRevision, value);
            return revision.isPresent()
                    ? Optional.of(new StoredIntent(intent, revision.getAsLong()))
                    : Optional.empty();
        } catch (PlatformException e) {
            VersionedValue current = store.get(key(intent));
            return Arrays.equals(current.value(), value)
                    ? Optional.of(new StoredIntent(intent, current.revision()))
                    : Optional.empty();
        }
    }

    void delete(StoredIntent stored) throws PlatformException {
        store.compareAndDelete(key(stored.intent()), stored.revision());
    }
}
