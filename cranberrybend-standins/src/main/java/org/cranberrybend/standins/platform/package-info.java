/** Stand-in for the platform: key-value service, leases, instance list, upstream orders and usage reports. */
package org.cranberrybend.standins.platform;
