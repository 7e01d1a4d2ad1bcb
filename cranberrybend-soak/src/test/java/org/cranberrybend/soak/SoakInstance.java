package org.cranberrybend.soak;

import java.io.IOException;

/**
 * An entry instance and the proxies by which it reaches the platform.
 *
 * @param process process of the instance
 * @param store way to the store
 * @param duties way to the calls of one holder at a time
 */
record SoakInstance(EntryProcess process, LoopbackProxy store, LoopbackProxy duties) implements AutoCloseable {
    @Override
    public void close() throws IOException {
        process.close();
        store.close();
        duties.close();
    }
}
