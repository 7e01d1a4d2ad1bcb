/** Acquires and renews leases. */
package org.cranberrybend.controller.lease;
