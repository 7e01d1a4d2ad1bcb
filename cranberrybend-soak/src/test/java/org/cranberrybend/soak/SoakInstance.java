package org.cranberrybend.soak;

import java.io.IOException;

/**
 * An entry instance and the proxies through which it reaches the platform.
 *
 * @param process the process
 * @param storeProxy proxy to the key-value store
 * @param dutyProxy proxy to the platform's calls that only the lease holder of a duty makes
 */
record SoakInstance(EntryProcess process, LoopbackProxy storeProxy, LoopbackProxy dutyProxy) implements AutoCloseable {
    @Override
    public void close() throws IOException {
        process.close();
        storeProxy.close();
        dutyProxy.close();
    }
}
