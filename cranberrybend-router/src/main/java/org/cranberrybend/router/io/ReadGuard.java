package org.cranberrybend.router.io;

import java.io.IOException;

/** Asked repeatedly while a read waits for its first byte. */
@FunctionalInterface
public interface ReadGuard {
    /** Returns normally if the read may go on waiting; otherwise the read fails with the exception. */
    void check() throws IOException;
}
