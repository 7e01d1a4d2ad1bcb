package org.cranberrybend.experiment.capacity;

import java.util.List;

/** A group of slopes that are measured together. */
interface CapacityGroup {
    /** Returns the name given to {@code --only}. */
    String name();

    /** Measures the slopes of the group. */
    List<SlopeMeasurement> measure() throws Exception;
}
