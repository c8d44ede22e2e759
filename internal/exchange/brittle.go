package exchange

// Brittleness is what a backend server's answer says of how it stands rejections.
type Brittleness struct {
	Stated        bool // it is brittle
	MaxRejections int  // rejections for want of room within a second that it stands
}
