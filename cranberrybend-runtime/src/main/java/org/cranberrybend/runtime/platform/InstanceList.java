package org.cranberrybend.runtime.platform;

import java.util.List;

/** The platform's lagging list of live and leaving instances. */
public interface InstanceList {
    /** Reads the whole list. */
    List<PlatformInstance> instances() throws PlatformException;
}
