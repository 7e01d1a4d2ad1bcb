/**
 * Interfaces to the platform that the entry program runs on, independent of the names and formats of a particular
 * platform. An adapter implements them; it translates names, formats and calls, and contains no decisions.
 */
package org.cranberrybend.entry.port;
