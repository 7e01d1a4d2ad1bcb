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

/** Intents of orders in the key-value service. Every change is a compare-and-swap. */
final class IntentStore {
    private final KeyValueStore store;

    IntentStore(KeyValueStore store) {
        this.store = store;
    }

    /** An intent with the revision of its key. */
    record Stored(OrderIntent intent, long revision) {}

    private static String key(OrderIntent intent) {
        return prefix(intent.zone()) + intent.orderId();
    }

    private static String prefix(String zone) {
        return "orders/" + zone + "/";
    }

    List<Stored> list(String zone) throws PlatformException {
        List<Stored> intents = new ArrayList<>();
        for (VersionedValue each : store.list(prefix(zone))) {
            intents.add(new Stored(read(each), each.revision()));
        }
        return intents;
    }

    private static OrderIntent read(VersionedValue value) throws PlatformException {
        try {
            return CanonicalJson.mapper()
                    .readValue(new String(value.value(), StandardCharsets.UTF_8), OrderIntent.class);
        } catch (JsonProcessingException e) {
            throw new PlatformException(value.key() + " is not readable", e);
        }
    }

    /** Records a new intent, or returns empty if the key exists with other content. */
    Optional<Stored> create(OrderIntent intent) throws PlatformException {
        return write(intent, 0);
    }

    /** Changes the state of an intent, or returns empty if another process changed it. */
    Optional<Stored> change(Stored stored, OrderState next) throws PlatformException {
        return write(stored.intent().withState(next), stored.revision());
    }

    /** Writes an intent; a lost response is resolved by reading. */
    private Optional<Stored> write(OrderIntent intent, long expectedRevision) throws PlatformException {
        byte[] value = CanonicalJson.write(intent).getBytes(StandardCharsets.UTF_8);
        try {
            OptionalLong revision = store.compareAndSwap(key(intent), expectedRevision, value);
            return revision.isPresent() ? Optional.of(new Stored(intent, revision.getAsLong())) : Optional.empty();
        } catch (PlatformException e) {
            VersionedValue current = store.get(key(intent));
            return Arrays.equals(current.value(), value)
                    ? Optional.of(new Stored(intent, current.revision()))
                    : Optional.empty();
        }
    }

    void delete(Stored stored) throws PlatformException {
        store.compareAndDelete(key(stored.intent()), stored.revision());
    }
}
