package org.cranberrybend.router.io;

import java.io.IOException;

/** Decides whether to abort a read; called periodically while the read waits for input. */
@FunctionalInterface
public interface ReadAbortCheck {
    /** Returns normally if the read is to continue waiting; otherwise the read fails with the thrown exception. */
    void check() throws IOException;
}
