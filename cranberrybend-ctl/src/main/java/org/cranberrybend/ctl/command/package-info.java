/** The commands of the command line. */
package org.cranberrybend.ctl.command;
