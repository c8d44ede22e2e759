// Command gooseberryslip is the one binary of the serving system.
package main

import "fmt"

func main() {
	fmt.Println("gooseberryslip")
}
