/** Measures the slopes from which docs/CAPACITY.md computes the figures at the design size. */
package org.cranberrybend.experiment.capacity;
