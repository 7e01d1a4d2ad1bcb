/** Clients for the platform's key-value store, leases, instance list, upstream orders and usage reports. */
package org.cranberrybend.runtime.platform;
