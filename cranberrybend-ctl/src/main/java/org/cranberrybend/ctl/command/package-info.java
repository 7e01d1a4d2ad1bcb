/** One class for each command of the command line. */
package org.cranberrybend.ctl.command;
