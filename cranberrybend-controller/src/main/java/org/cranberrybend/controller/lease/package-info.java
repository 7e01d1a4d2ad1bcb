/** Acquiring and renewing of leases. */
package org.cranberrybend.controller.lease;
