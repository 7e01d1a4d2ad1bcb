/**
 * A randomized soak: real entry processes before stand-ins, faults from outside of them, and promises that are checked
 * from what callers, upstreams and the platform see.
 */
package org.cranberrybend.soak;
