/** Clients of the platform's interfaces. */
package org.cranberrybend.runtime.platform;
