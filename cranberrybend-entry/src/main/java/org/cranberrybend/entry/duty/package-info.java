/**
 * Duties: tasks that one instance at a time performs for the fleet under a lease in the store, which are usage reports
 * and orders of upstreams. Also the registry of running instances.
 */
package org.cranberrybend.entry.duty;
