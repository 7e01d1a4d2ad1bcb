package org.cranberrybend.entry.duty;

import java.util.Map;
import org.cranberrybend.entry.json.Json;
import org.cranberrybend.entry.json.JsonFormatException;
import org.cranberrybend.entry.json.JsonObject;
import org.cranberrybend.entry.port.StoreItem;

/**
 * How far the usage reports have come, as stored.
 *
 * @param window last window whose report the platform has accepted, or that is not to be reported
 * @param epoch epoch of the store in which this was written
 * @param lastMaybeSealedWindow last window that a holder of an earlier epoch can have sealed and reported although its
 *     totals are not in the store; negative if there is none
 */
record UsageProgress(long window, long epoch, long lastMaybeSealedWindow) {
    /** Reads the stored progress; what cannot be read is taken for no progress of the first epoch. */
    static UsageProgress parse(StoreItem item) {
        try {
            JsonObject json = Json.readObject(item.value());
            return new UsageProgress(
                    json.integer("window"), json.integer("epoch", 0), json.integer("maybe_sealed", -1));
        } catch (JsonFormatException e) {
            return new UsageProgress(-1, 0, -1);
        }
    }

    byte[] encode() {
        return Json.write(Map.of("window", window, "epoch", epoch, "maybe_sealed", lastMaybeSealedWindow));
    }
}
