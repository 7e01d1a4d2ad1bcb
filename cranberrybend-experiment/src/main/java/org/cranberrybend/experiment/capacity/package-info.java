/** Measures the slopes from which docs/CAPACITY.md extrapolates resource usage to the design size. */
package org.cranberrybend.experiment.capacity;
