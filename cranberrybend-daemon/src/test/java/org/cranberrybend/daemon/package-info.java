/** Tests that start the program's own process on loopback, with the platform's stand-ins. */
package org.cranberrybend.daemon;
