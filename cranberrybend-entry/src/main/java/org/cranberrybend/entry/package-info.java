/** The entry instance: serves callers, and performs the duties of the fleet while it holds their lease. */
package org.cranberrybend.entry;
