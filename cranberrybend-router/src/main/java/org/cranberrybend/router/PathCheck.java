package org.cranberrybend.router;

import java.util.Locale;
import org.cranberrybend.core.error.ErrorCode;
import org.cranberrybend.core.error.RequestFailedException;

/**
 * Refuses paths that an upstream may normalize to a different path than the one that was matched to a route, which
 * would give callers access to routes that are not allowed for them.
 */
final class PathCheck {
    private PathCheck() {}

    static void check(String path) throws RequestFailedException {
        String lower = path.toLowerCase(Locale.ROOT);
        boolean ambiguous = lower.contains("%2e")
                || lower.contains("%2f")
                || lower.contains("%5c")
                || lower.contains("%00")
                || lower.contains("\\")
                || lower.contains("//")
                || (lower + "/").contains("/../")
                || (lower + "/").contains("/./");
        if (ambiguous) {
            throw RequestFailedException.notRun(ErrorCode.INVALID_FIELD, "path", "must be in normal form");
        }
    }
}
