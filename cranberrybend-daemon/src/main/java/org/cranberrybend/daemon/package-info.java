/** The program of an entry instance, wired to the platform adapter. */
package org.cranberrybend.daemon;
