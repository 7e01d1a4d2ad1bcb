/** Simulator of the platform: key-value store, leases, instance list, upstream orders and usage reports. */
package org.cranberrybend.standins.platform;
