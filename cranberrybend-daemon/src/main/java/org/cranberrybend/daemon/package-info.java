/** The program of an entry instance, wired to the users' platform. */
package org.cranberrybend.daemon;
