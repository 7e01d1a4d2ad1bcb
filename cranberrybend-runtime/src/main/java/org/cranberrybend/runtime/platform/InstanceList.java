package org.cranberrybend.runtime.platform;

import java.util.List;

/** The platform's list of live and leaving instances. The list lags behind the actual state. */
public interface InstanceList {
    /** Reads the whole list. */
    List<PlatformInstance> instances() throws PlatformException;
}
