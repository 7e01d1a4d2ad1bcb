/** Membership of the project's processes. */
package org.cranberrybend.core.membership;
