/**
 * What one instance does for the fleet at a time, under a lease in the platform's store: usage reports and orders of
 * upstreams.
 */
package org.cranberrybend.entry.duty;
