package org.cranberrybend.controller.usage;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cranberrybend.controller.operator.OperatorInterface;
import org.cranberrybend.core.error.RequestFailedException;
import org.cranberrybend.core.usage.SealedWindow;
import org.cranberrybend.core.usage.UsageWindow;
import org.cranberrybend.runtime.platform.KeyValueStore;
import org.cranberrybend.runtime.platform.PlatformException;

/** The last sealed windows, for operators. */
public final class UsageOverview implements OperatorInterface.UsageReader {
    private static final int WINDOWS = 10;

    private final KeyValueStore keyValueStore;

    /** Creates the overview of what is in the given service. */
    public UsageOverview(KeyValueStore keyValueStore) {
        this.keyValueStore = keyValueStore;
    }

    @Override
    public Map<String, Object> read() throws RequestFailedException {
        UsageStore store = new UsageStore(keyValueStore);
        try {
            Map<String, Object> fields = new LinkedHashMap<>();
            List<Map<String, Object>> windows = new ArrayList<>();
            Optional<UsageProgress> progress = store.progress();
            if (progress.isPresent()) {
                UsageWindow end = new UsageWindow(progress.get().sealedUntilMs());
                for (int distance = 1; distance <= WINDOWS; distance++) {
                    addWindow(store, end.minusWindows(distance), progress.get(), windows);
                }
            }
            fields.put("progress", progress.orElse(null));
            fields.put("windows", windows);
            return fields;
        } catch (PlatformException e) {
            throw OperatorInterface.unavailable(e.getMessage());
        }
    }

    private static void addWindow(
            UsageStore store, UsageWindow window, UsageProgress progress, List<Map<String, Object>> windows)
            throws PlatformException {
        Optional<SealedWindow> sealed = store.sealedWindow(window);
        if (sealed.isPresent()) {
            windows.add(Map.of("window", sealed.get(), "reported", window.endMs() <= progress.reportedUntilMs()));
        }
    }
}
