package org.cranberrybend.experiment.capacity;

import java.util.List;

/** A group of related slope measurements, selected as a whole by {@code --only}. */
interface CapacityGroup {
    /** Returns the name that {@code --only} accepts. */
    String name();

    /** Runs the measurements of the group. */
    List<SlopeMeasurement> measure() throws Exception;
}
