/**
 * What the entry program needs from the platform that it runs on, in the project's own words. An adapter implements
 * these interfaces; it holds names, formats and calls, and decides nothing.
 */
package org.cranberrybend.entry.port;
